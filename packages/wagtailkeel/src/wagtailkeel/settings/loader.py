"""Loads and validates settings files."""

from __future__ import annotations

import ipaddress
import re
from pathlib import Path

import msgspec

from wagtailkeel.errors import SettingsError
from wagtailkeel.settings.model import Settings

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")


def load_settings(path: Path) -> Settings:
    """Load and validate settings; raise SettingsError for the first error found."""
    try:
        content = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(str(path), "", f"can't be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(str(path), "", f"is not UTF-8: {error.reason}") from error
    try:
        settings = msgspec.toml.decode(content, type=Settings)
    except msgspec.ValidationError as error:
        key, detail = _split_validation_error(str(error))
        raise SettingsError(str(path), key, detail) from error
    except msgspec.DecodeError as error:
        raise SettingsError(str(path), "", f"is not TOML: {error}") from error
    _check(settings, str(path))
    return settings


def _split_validation_error(message: str) -> tuple[str, str]:
    """Split "Expected `int`, got `str` - at `$.agents[0].slots`" into key and detail."""
    detail, _, key_path = message.partition(" - at `$.")
    key = key_path.rstrip("`")
    unknown_field = re.search(r"unknown field `([^`]*)`", detail)
    if unknown_field is not None:
        key = f"{key}.{unknown_field.group(1)}" if key else unknown_field.group(1)
        detail = "unknown key; expected one of the documented keys"
    return key, detail


def _check(settings: Settings, path: str) -> None:
    _check_roles(settings, path)
    _check_hosts(settings, path)
    _check_log_level(settings, path)
    _check_control_instances(settings, path)
    _check_ids(settings, path)
    _check_ports(settings, path)
    _check_pools(settings, path)
    _check_data_folder(settings, path)


def _check_roles(settings: Settings, path: str) -> None:
    if settings.balancer is None and settings.control is None and not settings.agents:
        raise SettingsError(
            path, "", "no role is configured; expected a section balancer, agents or control"
        )
    if settings.discovery is None and not settings.control_instances:
        raise SettingsError(path, "control_instances", "expected an entry or a section discovery")
    if settings.control is not None and settings.discovery is None:
        ids = {control_instance.id for control_instance in settings.control_instances}
        if settings.instance.id not in ids:
            raise SettingsError(
                path,
                "control_instances",
                f"expected an entry with id {settings.instance.id}, found {', '.join(sorted(ids))}",
            )


def _check_hosts(settings: Settings, path: str) -> None:
    hosts = [("instance.host", settings.instance.host)]
    if settings.instance.bind_host:
        hosts.append(("instance.bind_host", settings.instance.bind_host))
    for index, control_instance in enumerate(settings.control_instances):
        hosts.append((f"control_instances[{index}].host", control_instance.host))
    for index, seed in enumerate(settings.discovery.seeds if settings.discovery else []):
        hosts.append((f"discovery.seeds[{index}]", seed))
    for index, agent in enumerate(settings.agents):
        hosts.append((f"agents[{index}].server_host", agent.server_host))
        hosts.append((f"agents[{index}].caller_gateway_host", agent.caller_gateway_host))
    for key, host in hosts:
        try:
            ipaddress.ip_address(host)
        except ValueError:
            raise SettingsError(path, key, f"expected an IP address, found {host!r}") from None


def _check_log_level(settings: Settings, path: str) -> None:
    level = settings.instance.log_level
    if level not in LOG_LEVELS:
        expected = ", ".join(LOG_LEVELS)
        raise SettingsError(path, "instance.log_level", f"expected {expected}, found {level!r}")


def _check_control_instances(settings: Settings, path: str) -> None:
    ids = [control_instance.id for control_instance in settings.control_instances]
    if len(set(ids)) != len(ids):
        raise SettingsError(path, "control_instances", "expected unique ids, found a duplicate")


def _check_ids(settings: Settings, path: str) -> None:
    """Check that ids are unique, since only the id distinguishes members and control instances."""
    used_ids = {control_instance.id for control_instance in settings.control_instances}
    members = [(f"agents[{n}].server_id", a.server_id) for n, a in enumerate(settings.agents)]
    if settings.balancer is not None:
        members.append(("balancer.id", settings.balancer_id))
    for key, member_id in members:
        if member_id in used_ids:
            raise SettingsError(path, key, f"expected a unique id, found {member_id!r} twice")
        used_ids.add(member_id)


def _check_ports(settings: Settings, path: str) -> None:
    keys_by_port: dict[int, str] = {}
    for key, port in _bound_ports(settings):
        if port in keys_by_port:
            raise SettingsError(
                path, key, f"expected an unused port, found {port} of {keys_by_port[port]}"
            )
        keys_by_port[port] = key


def _bound_ports(settings: Settings) -> list[tuple[str, int]]:
    ports: list[tuple[str, int]] = []
    if settings.balancer is not None:
        balancer = settings.balancer
        ports.append(("balancer.port", balancer.port))
        ports.append(("balancer.rpc_port", balancer.rpc_port))
        ports.append(("balancer.fabric_port", balancer.fabric_port))
    for index, agent in enumerate(settings.agents):
        ports.append((f"agents[{index}].port", agent.port))
        ports.append((f"agents[{index}].rpc_port", agent.rpc_port))
        ports.append((f"agents[{index}].server_side_port", agent.server_side_port))
    if settings.control is not None:
        for control_instance in settings.control_instances:
            if control_instance.id == settings.instance.id:
                ports.append(("control_instances.port", control_instance.port))
                ports.append(("control_instances.rpc_port", control_instance.rpc_port))
    return ports


def _check_pools(settings: Settings, path: str) -> None:
    pools = settings.control.pools if settings.control else []
    for index, pool in enumerate(pools):
        key = f"control.pools[{index}]"
        try:
            _ = pool.ip_network
        except ValueError:
            raise SettingsError(
                path,
                f"{key}.network",
                f"expected a network such as 10.9.0.0/24, found {pool.network!r}",
            ) from None
        if not 1 <= pool.first_port <= pool.last_port <= 65_535:
            raise SettingsError(
                path,
                f"{key}.first_port",
                f"expected 1 <= first_port <= last_port <= 65535, "
                f"found {pool.first_port} and {pool.last_port}",
            )
        for earlier_pool in pools[:index]:
            if pool.overlaps(earlier_pool):
                raise SettingsError(
                    path,
                    f"{key}.network",
                    f"expected no overlap, found {pool.network} and {earlier_pool.network}",
                )


def _check_data_folder(settings: Settings, path: str) -> None:
    if settings.control is None:
        return
    folder = Path(settings.control.data_folder)
    if not folder.is_dir():
        raise SettingsError(
            path, "control.data_folder", f"expected an existing folder, found none at {folder}"
        )
