"""The settings of one process, as read from its TOML file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from wagtailkeel_coordination.handshake.router_options import PlacementRule
from wagtailkeel_state.address_pool import AddressPool

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]


class _Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of all sections; unknown keys are errors."""


class InstanceSettings(_Section):
    """Identity and address of the process.

    ``host`` is announced to others; ``bind_host`` is needed if ``host`` is not the process's own
    address. ``stateless`` turns the flow directory off, as a baseline for measurements.
    """

    id: Name
    data_centre: Name
    host: str
    bind_host: str = ""
    log_level: str = "INFO"
    stateless: bool = False

    @property
    def listen_host(self) -> str:
        """The address that the process binds its sockets to."""
        return self.bind_host or self.host


class ControlInstanceSettings(_Section):
    """Id and addresses of a control instance."""

    id: Name
    host: str
    port: Port
    rpc_port: Port


class DiscoverySettings(_Section):
    """Discovery of control through seeds, instead of a list of all control instances.

    ``seeds`` are hosts of control instances; the id of each such instance is its host, and it
    listens on ``port`` and ``rpc_port``. With ``may_form``, the seeds form a new cluster if none
    of them belongs to one; other instances join the cluster, up to ``voters`` voters.
    """

    seeds: Annotated[list[str], msgspec.Meta(min_length=1)]
    port: Port
    rpc_port: Port
    may_form: bool = False
    voters: PositiveInt = 5


class MetricsSettings(_Section):
    """Port and path at which the process serves its metrics as text."""

    port: Port
    path: str = "/metrics"


class BalancerSettings(_Section):
    """The balancer role; the fabric forwards packets to ``fabric_port``.

    ``id`` is needed if the control role of the same instance uses the instance's id.
    """

    port: Port
    rpc_port: Port
    fabric_port: Port
    id: Name | None = None


class AgentSettings(_Section):
    """The agent role; the agent runs next to one backend server.

    The server processes up to ``slots`` requests concurrently. It receives packets at
    ``server_host`` and ``server_port`` and sends packets to ``server_side_port``; the agent sends
    these to the caller gateway. If ``isolated_stop_s`` is above 0, an agent that has received no
    message for this long stops serving. A planned stop takes up to ``stop_limit_s``, in which the
    agent hands over its buckets.
    """

    server_id: Name
    service: Name
    slots: PositiveInt
    port: Port
    rpc_port: Port
    server_side_port: Port
    server_host: str
    server_port: Port
    caller_gateway_host: str
    caller_gateway_port: Port
    isolated_stop_s: float = 0.0
    stop_limit_s: PositiveFloat = 10.0


class HandshakeBalancerSettings(_Section):
    """The balancer role for packet formats whose handshake determines a flow's server.

    Callers receive packets at ``caller_port``. A planned stop first waits for up to
    ``stop_wait_limit_s`` while another balancer of the data centre is down for a restart. The
    ready endpoint then reports "not ready", and the balancer goes on serving for
    ``stop_delay_s``, until the fabric has noticed.
    """

    port: Port
    rpc_port: Port
    fabric_port: Port
    caller_port: Port
    stop_delay_s: PositiveFloat = 1.4
    stop_wait_limit_s: PositiveFloat = 3.0


class HandshakeAgentSettings(_Section):
    """The agent role for packet formats whose handshake determines a flow's server.

    The server receives packets at ``server_host`` and ``server_port`` and sends packets to
    ``server_side_port``. Without a report for ``report_limit_s``, it gets no openings. While cold,
    it gets at most ``cold_factor`` times the rate of its service's policy, plus ``cold_slack``, in
    openings per second. Other openings wait for up to ``max_opening_wait_s``, which should be less
    than callers wait for an answer to an opening; with 0 they are refused. With
    ``server_accepts_tcp``, the server also listens for TCP connections at its address while it
    runs, so that a refused connection shows that it does not. Without this, the agent learns that
    the server has ended only from the server's own notice.

    With ``queue_when_busy``, openings also wait for a busy server. With ``priority_admission``,
    openings of low priority are refused under sustained overload. ``placement`` is the rule by
    which servers are chosen. With ``outlier_detection``, a server that fails requests gets fewer
    openings.
    """

    service: Name
    port: Port
    rpc_port: Port
    server_side_port: Port
    server_host: str
    server_port: Port
    caller_port: Port
    report_limit_s: PositiveFloat = 3.0
    cold_factor: PositiveFloat = 1.0
    cold_slack: NonNegativeFloat = 0.0
    max_opening_wait_s: NonNegativeFloat = 0.0
    server_accepts_tcp: bool = False
    queue_when_busy: bool = False
    priority_admission: bool = False
    placement: PlacementRule = "least_wait"
    outlier_detection: bool = False


class DataCentreSettings(_Section):
    """A data centre and its region."""

    name: Name
    region: Name


class ControlSettings(_Section):
    """The control role, which needs a disk."""

    data_folder: str
    pools: Annotated[list[AddressPool], msgspec.Meta(min_length=1)]
    data_centres: Annotated[list[DataCentreSettings], msgspec.Meta(min_length=1)]


class Settings(_Section):
    """The whole file; the process runs each role whose section is present."""

    instance: InstanceSettings
    control_instances: list[ControlInstanceSettings] = []
    discovery: DiscoverySettings | None = None
    metrics: MetricsSettings | None = None
    balancer: BalancerSettings | None = None
    agents: list[AgentSettings] = []
    handshake_balancer: HandshakeBalancerSettings | None = None
    handshake_agent: HandshakeAgentSettings | None = None
    control: ControlSettings | None = None

    @property
    def balancer_id(self) -> str:
        """The balancer's member id."""
        own_id = self.balancer.id if self.balancer else None
        return own_id or self.instance.id
