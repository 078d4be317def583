//! The store's own tool: look at one, check it, compact it, get billing rows out of it, fill one, measure.

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
