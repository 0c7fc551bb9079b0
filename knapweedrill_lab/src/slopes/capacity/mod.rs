//! Works out from measured slopes what each role needs at the planned size, for the page on it.

mod bound;
mod entry_count;
mod entry_rows;
mod figure;
mod page;
mod planned_size;
mod row;
mod section;
mod sidecar_rows;
mod slope_rows;
mod slope_table;

pub use page::CapacityPage;
pub use section::Section;
