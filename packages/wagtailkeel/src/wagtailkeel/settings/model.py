"""The settings of one process, as read from its TOML file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from wagtailkeel_state.address_pool import AddressPool

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]


class _Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of all sections: unknown keys are errors."""


class InstanceSettings(_Section):
    """Who this process is; ``bind_host`` is needed where the announced host is not its own.

    ``stateless`` turns the flow directory off: the baseline that measurements compare with.
    """

    id: Name
    data_centre: Name
    host: str
    bind_host: str = ""
    log_level: str = "INFO"
    stateless: bool = False

    @property
    def listen_host(self) -> str:
        """The address that sockets are bound to."""
        return self.bind_host or self.host


class ControlInstanceSettings(_Section):
    """Where a control instance listens."""

    id: Name
    host: str
    port: Port
    rpc_port: Port


class DiscoverySettings(_Section):
    """Finding control from seeds, instead of a list of all its instances.

    ``seeds`` are hosts of control instances; each such instance has its host as its id and
    listens on ``port`` and ``rpc_port``. With ``may_form`` the seeds form a new cluster while
    none of them belongs to one; others join it, up to ``voters`` votes.
    """

    seeds: Annotated[list[str], msgspec.Meta(min_length=1)]
    port: Port
    rpc_port: Port
    may_form: bool = False
    voters: PositiveInt = 5


class MetricsSettings(_Section):
    """Where the process serves its metrics as text."""

    port: Port
    path: str = "/metrics"


class BalancerSettings(_Section):
    """The balancer role; the fabric hands packets to ``fabric_port``.

    ``id`` is needed where the instance's own id is that of its control role.
    """

    port: Port
    rpc_port: Port
    fabric_port: Port
    id: Name | None = None


class AgentSettings(_Section):
    """The agent role, beside one backend server."""

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
    """The balancer role for packet formats whose handshake settles a flow's server.

    ``caller_port`` is where callers take packets. A planned stop waits for up to
    ``stop_wait_limit_s`` while another balancer of the data centre is away, and goes on serving
    for ``stop_delay_s`` after the ready endpoint has said no.
    """

    port: Port
    rpc_port: Port
    fabric_port: Port
    caller_port: Port
    stop_delay_s: PositiveFloat = 1.4
    stop_wait_limit_s: PositiveFloat = 3.0


class HandshakeAgentSettings(_Section):
    """The agent role for packet formats whose handshake settles a flow's server.

    The server takes packets at ``server_host`` and ``server_port`` and sends its own to
    ``server_side_port``. It counts as gone once it has not reported for ``report_limit_s``. While
    cold it takes ``cold_factor`` times the rate that its service's policy gives, and
    ``cold_slack`` more openings a second.
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


class DataCentreSettings(_Section):
    """A data centre and its region."""

    name: Name
    region: Name


class ControlSettings(_Section):
    """The control role, on an instance with a disk."""

    data_folder: str
    pools: Annotated[list[AddressPool], msgspec.Meta(min_length=1)]
    data_centres: Annotated[list[DataCentreSettings], msgspec.Meta(min_length=1)]


class Settings(_Section):
    """The whole file; a role runs where its section is present."""

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
        """The id under which the balancer is a member."""
        own_id = self.balancer.id if self.balancer else None
        return own_id or self.instance.id
