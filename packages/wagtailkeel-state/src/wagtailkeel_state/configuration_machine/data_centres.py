"""Rules for data centres."""

from __future__ import annotations

from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import SetDataCentreState
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine.apply_command import apply_command
from wagtailkeel_state.configuration_machine.table_epochs import set_table_epochs_of_data_centre
from wagtailkeel_state.data_centre import DataCentre
from wagtailkeel_state.enums import DataCentreState


@apply_command.register
def _(command: DefineDataCentre, config: Configuration, entry: LogEntry) -> str | None:
    data_centre = config.data_centres_by_name.get(command.name)
    if data_centre is not None and data_centre.region == command.region:
        return None
    if data_centre is not None:
        data_centre.region = command.region
    else:
        config.data_centres_by_name[command.name] = DataCentre(command.name, command.region)
    set_table_epochs_of_data_centre(config, entry.index, command.name)
    return None


@apply_command.register
def _(command: SetDataCentreState, config: Configuration, entry: LogEntry) -> str | None:
    data_centre = config.data_centres_by_name.get(command.name)
    if data_centre is None:
        return f"data centre {command.name} is not known; it is named in the settings of control"
    if data_centre.state is command.state:
        return f"data centre {command.name} is {command.state.value} already"
    is_last = not any(
        other.state is DataCentreState.IN_SERVICE
        for other in config.data_centres_by_name.values()
        if other.name != command.name
    )
    if command.state is DataCentreState.OUT_OF_SERVICE and is_last and not command.may_be_last:
        return f"data centre {command.name} is the last one in service"
    data_centre.state = command.state
    data_centre.state_index = entry.index
    set_table_epochs_of_data_centre(config, entry.index, command.name)
    return None
