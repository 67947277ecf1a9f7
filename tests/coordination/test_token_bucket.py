"""Guards the rate limit that events and searches share."""

from __future__ import annotations

import unittest

from wagtailkeel_coordination.token_bucket import TokenBucket


class TokenBucketTest(unittest.TestCase):
    def test_try_consume(self) -> None:
        bucket = TokenBucket.full(10.0, 1.0, 0.0)
        table = [
            ("a full bucket", 10, 0.0, True),
            ("none left", 1, 0.0, False),
            ("earned again", 5, 0.5, True),
            ("too many at once", 11, 100.0, False),
            ("not more than the capacity", 10, 100.0, True),
        ]
        for name, count, now, expected in table:
            with self.subTest(name):
                self.assertIs(bucket.try_consume(now, count), expected)


if __name__ == "__main__":
    unittest.main()
