//! A policy that is alike in the fleet: this instance's end. What is decided stands in crate `rollout`; here are the text, the disk, the
//! socket, and the gate by which the core goes. No invocation ever waits for a keeper, but for the moment in which a change that stops
//! all goes through.

pub mod admission_gate;
pub mod disk;
pub mod document_store;
pub mod member;
pub mod policy_command;

use crate::leases::ControlReplicas;
use crate::operator::{self, Wrong};
use cypresscleat_concurrency::PoolsConfig;
use cypresscleat_rollout::{Rules, Version};
use cypresscleat_scheduler::Time;
use cypresscleat_settings::Names;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What leaving may take: the keepers' lease ends by itself.
pub const LEAVE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// The member, as the operator's file has it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Where it keeps versions.
    pub folder: PathBuf,
    /// Without a keeper's word for so long it begins under the version that it had in force last.
    pub start_alone_after: Option<Time>,
    /// Longest text that it has room for, in bytes.
    pub max_document_bytes: usize,
    /// Whom it asks in place of the keepers; none: the keepers.
    pub relays: Vec<(String, SocketAddr)>,
}

impl RolloutSettings {
    /// Whom a member asks: its zone's relays where it has any, else the keepers. Nobody where there is neither.
    pub fn request_targets<'a>(
        &'a self,
        keepers: Option<&'a ControlReplicas>,
    ) -> Option<&'a [(String, SocketAddr)]> {
        match keepers {
            _ if !self.relays.is_empty() => Some(&self.relays),
            keepers => keepers.map(|keepers| &keepers.replicas[..]),
        }
    }
}

/// A policy, read from its text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    pub rules: Rules,
    pub pools: Option<PoolsConfig>,
    pub patience: Option<Time>,
    pub retries: Option<f64>,
    /// Of its canonical text.
    pub hash: u64,
}

/// Without `names` operations are taken as they stand. An empty text is each instance's own file.
pub fn parse_policy(name: &str, text: &str, names: Option<&Names>) -> Result<Policy, Wrong> {
    operator::policy(name, text, names)
}

/// Whether this instance can carry it out, in full: its room, the text against its own settings, and that the rules which the keepers
/// go by are those of the text.
pub fn check_version(
    version: &Version,
    max_document_bytes: usize,
    names: Option<&Names>,
) -> Result<Policy, String> {
    if version.document.len() > max_document_bytes {
        return Err(format!("a text of {} bytes, room for {max_document_bytes}", version.document.len()));
    }
    let policy = parse_policy("policy", &version.document, names)
        .map_err(|wrong| wrong.lines.first().cloned().unwrap_or(wrong.shown))?;
    if policy.rules != version.rules || policy.hash != version.hash {
        return Err("its rules or its hash are not those of its text".into());
    }
    Ok(policy)
}
