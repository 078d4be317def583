//! The instance's side of a policy that is the same on all instances. The crate `rollout` contains the protocol. This module contains the
//! documents, the disk, the socket, and the gate that the core checks at each admission. A request never waits for a control replica,
//! except while a change with a barrier is in progress.

pub mod admission_gate;
pub mod disk;
pub mod document_store;
pub mod member;
pub mod policy_command;

use crate::leases::ControlReplicas;
use crate::operator::{self, InvalidFile};
use cypresscleat_concurrency::PoolsConfig;
use cypresscleat_rollout::{Rules, Version};
use cypresscleat_scheduler::Time;
use cypresscleat_settings::Names;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum time to leave the rollout at the end of the process. After it the lease at the control replicas expires.
pub const LEAVE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// Settings of a rollout member, from the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Folder in which the member stores versions.
    pub folder: PathBuf,
    /// Time without a response of a control replica after which the member starts under the version that was active last. `None` where it
    /// waits for a response.
    pub start_alone_after: Option<Time>,
    /// Maximum length of a document that the member accepts, in bytes.
    pub max_document_bytes: usize,
    /// Relays that receive the member's requests in place of the control replicas; empty where it uses the control replicas.
    pub relays: Vec<(String, SocketAddr)>,
}

impl RolloutSettings {
    /// Receivers of the member's requests: the relays of its zone, if any, else the control replicas. `None` where there are neither.
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

/// A policy, parsed from its document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    pub rules: Rules,
    pub pools: Option<PoolsConfig>,
    pub patience: Option<Time>,
    pub retries: Option<f64>,
    /// Hash of the document's canonical form.
    pub hash: u64,
}

/// Parses a policy document. Without `names` the names of request classes are not checked. An empty document stands for the instance's
/// own file.
pub fn parse_policy(name: &str, document: &str, names: Option<&Names>) -> Result<Policy, InvalidFile> {
    operator::parse_policy(name, document, names)
}

/// Checks in full whether this instance can apply a version: the length of its document, the document against the instance's own settings,
/// and whether the rules that the control replicas apply are those of the document.
pub fn check_version(
    version: &Version,
    max_document_bytes: usize,
    names: Option<&Names>,
) -> Result<Policy, String> {
    if version.document.len() > max_document_bytes {
        return Err(format!(
            "the document has {} bytes; the maximum is {max_document_bytes}",
            version.document.len()
        ));
    }
    let policy = parse_policy("policy", &version.document, names)
        .map_err(|wrong| wrong.lines.first().cloned().unwrap_or(wrong.rendered))?;
    if policy.rules != version.rules || policy.hash != version.hash {
        return Err("the rules or the hash of the version differ from its document".into());
    }
    Ok(policy)
}
