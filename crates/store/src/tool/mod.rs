//! Arguments, commands and reports of the tool.

mod arguments;
mod commands;
mod measure;
mod outcome;
mod report;

pub use arguments::arguments;
pub use commands::run;
