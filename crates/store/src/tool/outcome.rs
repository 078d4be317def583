//! How a command ends: its exit code, and errors with their texts.

use cypresscleat_store::Error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Anything but damage that kept a command from its end.
const EXIT_FAILED: u8 = 2;
/// The store is damaged.
const EXIT_DAMAGE: u8 = 3;

/// What a command that came to its end has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All is well.
    Good,
    /// Damage, which the command has reported.
    Damaged,
}

impl Outcome {
    /// The outcome where so many records or segments were damaged.
    pub fn from_damage(count: usize) -> Outcome {
        match count {
            0 => Outcome::Good,
            _ => Outcome::Damaged,
        }
    }

    /// The exit code that reports it.
    pub fn exit_code(self) -> ExitCode {
        match self {
            Outcome::Good => ExitCode::SUCCESS,
            Outcome::Damaged => ExitCode::from(EXIT_DAMAGE),
        }
    }
}

/// Why a command did not come to its end.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    /// The store could not be opened, read or written.
    #[error(transparent)]
    Store(#[from] Error),
    /// The report could not be written.
    #[error("write standard output: {0}")]
    Output(#[from] io::Error),
    /// There is no store to look at.
    #[error("open {}: no such folder", .0.display())]
    NoSuchDirectory(PathBuf),
    /// No such command, or no directory for it.
    #[error("a command and a directory are needed")]
    Usage,
}

impl ToolError {
    /// The exit code that reports it.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            ToolError::Store(Error::Damage { .. }) => ExitCode::from(EXIT_DAMAGE),
            _ => ExitCode::from(EXIT_FAILED),
        }
    }
}
