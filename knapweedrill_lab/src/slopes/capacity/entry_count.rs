//! How many entries the planned size takes.

use super::bound::Bound;
use super::figure::{count, grouped, percent};
use super::planned_size::{
    CONFIGURATION_BYTES, minions_of_entry, starts_of_entry, starts_of_sidecar,
};
use super::slope_table::{ENTRY_STARTS, SlopeTable};
use crate::slopes::Quantity;

/// Works out how many entries the planned size takes, and what each of them starts.
pub(super) fn text(slopes: &SlopeTable<'_>) -> String {
    let control = slopes.slope(ENTRY_STARTS, Quantity::ControlThread);
    let others = slopes.slope(ENTRY_STARTS, Quantity::OtherThreads);
    let sizes = slopes.sweep(ENTRY_STARTS).sizes.iter();
    let fastest = sizes.copied().fold(0.0, f64::max);
    let starts = starts_of_entry();
    format!(
        "89,000 starts a second over entries that take 10,000 each (an aim; the fastest rate of i is {fastest}) need 9. \
         Twelve, three to a failure domain, still take 89,000 /\n\
         9 = 9,889 each when one domain is gone. With twelve, an entry starts 89,000 / 12 = {starts_text} a second; \
         i gives {starts_text} × ({control_text} + {others_text}) % = {sum}\n\
         of a core for each entry. There is one minion a worker, so 1,900 sidecars, each with 89,000 / 1,900 = {sidecar} \
         starts a second. A sidecar beats to 8 entries, and only those\n\
         dial it: an entry knows 1,900 × 8 / 12 = {minions} minions. The 3,900 accelerators are not seen by the system: \
         a minion tells slots. The configuration that the rows count with, of 72 teams and 200 kinds of work, has \
         {configuration} bytes (as the lab writes it).\n\
         \n\
         Control is what runs without any task. The control thread also carries tasks; that part is marked as task \
         traffic. If it is to count as control too, an entry has room for\n\
         {room} starts a second.",
        fastest = count(fastest),
        starts_text = count(starts),
        control_text = count(control),
        others_text = count(others),
        sum = percent(starts * (control + others)),
        sidecar = count(starts_of_sidecar()),
        minions = count(minions_of_entry()),
        configuration = grouped(CONFIGURATION_BYTES),
        room = Bound::Processor.size_at(control),
    )
}
