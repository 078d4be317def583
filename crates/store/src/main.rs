//! Command-line tool of the store: statistics, verification, dump, compaction, export of billing rows, test data, measurements.

mod tool;

use std::process::ExitCode;

fn main() -> ExitCode {
    match tool::run(&tool::arguments().get_matches()) {
        Ok(outcome) => outcome.exit_code(),
        Err(error) => {
            eprintln!("cypresscleat-store: {error}");
            error.exit_code()
        }
    }
}
