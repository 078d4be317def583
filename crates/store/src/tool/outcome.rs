//! Outcomes and errors of the commands, with their exit codes and messages.

use cypresscleat_store::Error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// A command failed for any reason other than damage.
const EXIT_FAILED: u8 = 2;
/// The store is damaged.
const EXIT_DAMAGE: u8 = 3;

/// Result of a command that ran to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No damage was found.
    Good,
    /// Damage was found and reported.
    Damaged,
}

impl Outcome {
    /// Returns the outcome for a number of damaged records or segments.
    pub fn from_damage(count: usize) -> Outcome {
        match count {
            0 => Outcome::Good,
            _ => Outcome::Damaged,
        }
    }

    /// Returns the exit code.
    pub fn exit_code(self) -> ExitCode {
        match self {
            Outcome::Good => ExitCode::SUCCESS,
            Outcome::Damaged => ExitCode::from(EXIT_DAMAGE),
        }
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    /// The store could not be opened, read or written.
    #[error(transparent)]
    Store(#[from] Error),
    /// The report could not be written.
    #[error("write to standard output: {0}")]
    Output(#[from] io::Error),
    /// The directory of the store does not exist.
    #[error("open {}: no such directory", .0.display())]
    NoSuchDirectory(PathBuf),
    /// The command is unknown, or its directory is missing.
    #[error("a command and a directory are required")]
    Usage,
}

impl ToolError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            ToolError::Store(Error::Damage { .. }) => ExitCode::from(EXIT_DAMAGE),
            _ => ExitCode::from(EXIT_FAILED),
        }
    }
}
