//! Reads the operator's file and policy documents: checks them against the schemas `operator.cue` and `policy.cue` and
//! builds typed settings. No other module reads either.

use crate::clock::MS;
use crate::downstream::scgi::Backend;
use crate::forwarder::{PlannerConfig, TierConfig, WorkerConfig};
use crate::leases::counter_demo::CounterDemoConfig;
use crate::leases::reconcile::ReconcileConfig;
use crate::leases::usage_report::UsageReportConfig;
use crate::leases::ControlReplicas;
use crate::listeners::routes::{HeaderOr, Route, Routes};
use crate::relay::RelayConfig;
use crate::rollout::{Policy, RolloutSettings};
use crate::store_thread::Durability;
use cypresscleat_concurrency::limit::Limiter;
use cypresscleat_concurrency::{ConfigError, PoolConfig, PoolsConfig};
use cypresscleat_operator_config::{render, Diagnostic, Node, Schema};
use cypresscleat_rollout::{Rules, UnreachableMembers, WatchRules};
use cypresscleat_scgi::request::header_variable;
use cypresscleat_scgi::{is_token, is_value, Bounds};
use cypresscleat_scheduler::Time;
use cypresscleat_settings::Names;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

const SCHEMA: &str = include_str!("operator.cue");
/// Maximum number of relays that one member polls.
const MAX_RELAYS: usize = 8;

/// The settings of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub scgi: Option<ScgiConfig>,
    pub backend: Option<Backend>,
    /// Without pools every request class competes for the whole capacity.
    pub pools: PoolsConfig,
    pub store: Option<StoreConfig>,
    pub tier: Option<TierConfig>,
    pub control_replicas: Option<ControlReplicas>,
    pub counter_demo: Option<CounterDemoConfig>,
    pub reconcile: Option<ReconcileConfig>,
    pub usage_report: Option<UsageReportConfig>,
    pub rollout: Option<RolloutSettings>,
    pub relay: Option<RelayConfig>,
}

/// Settings of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    pub folder: PathBuf,
    pub durability: Durability,
    /// A response is sent after the commit of its row.
    pub answers_after_commit: bool,
    /// Requests are rejected while rows can't be stored.
    pub rejects_without_store: bool,
    pub segment_bytes: u64,
    /// Length in milliseconds of the spans by which billing rows are summed.
    pub hour_length_ms: Option<u64>,
}

/// Settings of the SCGI listener.
#[derive(Clone, Debug, PartialEq)]
pub struct ScgiConfig {
    pub listen: SocketAddr,
    pub connections: usize,
    pub bounds: Bounds,
    pub request_timeout: Time,
    pub routes: Rc<Routes>,
}

/// The errors in a file, rendered for a person and as one line for each.
#[derive(Clone, Debug)]
pub struct InvalidFile {
    pub rendered: String,
    pub lines: Vec<String>,
}

fn invalid_file(name: &str, text: &str, diagnostics: &[Diagnostic]) -> InvalidFile {
    let lines = diagnostics.iter().map(|diagnostic| format!("{name}:{}", diagnostic.to_line(text))).collect();
    InvalidFile { rendered: render(name, text, diagnostics), lines }
}

/// The schema of the operator's file. It is part of the program; an error in it is reported like one in the file.
pub fn schema() -> Result<Schema, InvalidFile> {
    Schema::new(SCHEMA).map_err(|diagnostics| invalid_file("the program's own schema", SCHEMA, &diagnostics))
}

/// Reads and checks the operator's file. Returns its settings and the tree with defaults.
pub fn read(path: &Path, names: Option<&Names>) -> Result<(OperatorConfig, Node), InvalidFile> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        let line = format!("{name}: {error}");
        InvalidFile { rendered: format!("{line}\n"), lines: vec![line] }
    })?;
    parse(&name, &text, names)
}

/// Parses the operator's file. Without `names` the names of request classes and tenants are not checked.
pub fn parse(name: &str, text: &str, names: Option<&Names>) -> Result<(OperatorConfig, Node), InvalidFile> {
    let schema = schema()?;
    let root = schema.read(text).map_err(|diagnostics| invalid_file(name, text, &diagnostics))?;
    let mut reader = ConfigReader { names, diagnostics: Vec::new() };
    let operator = OperatorConfig {
        scgi: root.find("scgi").and_then(|node| reader.read_scgi(node)),
        backend: root.find("calls").and_then(|node| reader.read_backend(node.get("scgi"))),
        tier: root.find("tier").and_then(|node| reader.read_tier(node)),
        control_replicas: root.find("keepers").and_then(|node| reader.read_control_replicas(node)),
        counter_demo: root.find("tally").and_then(|node| reader.read_counter_demo(node)),
        reconcile: root.find("settle").and_then(|node| reader.read_reconcile(node)),
        rollout: root.find("rollout").map(|node| reader.read_rollout(node)),
        relay: root.find("relay").and_then(|node| reader.read_relay(node)),
        usage_report: root.find("sums").and_then(|node| reader.read_usage_report(node)),
        store: root.find("store").map(|node| StoreConfig {
            folder: node.get("folder").text().into(),
            durability: match node.get("durability").text() {
                "each" => Durability::Each,
                "none" => Durability::None,
                _ => Durability::Group(node.get("within").duration()),
            },
            answers_after_commit: node.get("answer").text() == "after",
            rejects_without_store: node.get("full").text() == "refuse",
            segment_bytes: node.get("segment").size(),
            hour_length_ms: node.find("hours").map(|hours| hours.duration().as_millis() as u64),
        }),
        pools: root.find("pools").map_or_else(PoolsConfig::default, |node| reader.read_pools(node)),
    };
    reader.reject_replicas_as_relays(&operator, root.find("rollout"));
    let polls_replicas = operator.rollout.as_ref().is_some_and(|rollout| rollout.relays.is_empty());
    for (key, needs_replicas) in [("rollout", polls_replicas), ("relay", operator.relay.is_some())] {
        if let (Some(node), None, true) = (root.find(key), &operator.control_replicas, needs_replicas) {
            reader.report(node, key, "it needs keepers".into());
        }
    }
    if reader.diagnostics.is_empty() {
        Ok((operator, root))
    } else {
        Err(invalid_file(name, text, &reader.diagnostics))
    }
}

/// Parses a policy document. Its schema shares the definitions of the operator's file.
pub fn parse_policy(name: &str, text: &str, names: Option<&Names>) -> Result<Policy, InvalidFile> {
    if text.is_empty() {
        return Ok(Policy { hash: 0, ..Policy::default() });
    }
    let schema_text =
        format!("{}\n{}", SCHEMA.replace("#Root: {", "#Operator: {"), include_str!("policy.cue"));
    let schema = Schema::new(&schema_text).map_err(|diagnostics| {
        invalid_file("the program's own schema of policies", &schema_text, &diagnostics)
    })?;
    let root = schema.read(text).map_err(|diagnostics| invalid_file(name, text, &diagnostics))?;
    let mut reader = ConfigReader { names, diagnostics: Vec::new() };
    let rules = Rules {
        unreachable: match root.get("missing").text() {
            "wait" => UnreachableMembers::Wait,
            _ => UnreachableMembers::Fence,
        },
        lease: to_time(root.get("lease").duration()),
        decision_timeout: to_time(root.get("within").duration()),
        barrier: root.get("together").boolean(),
        watch: root.find("watch").map(|node| WatchRules {
            share: (node.get("share").number() * 1000.0).round() as u32,
            within: to_time(node.get("within").duration()),
        }),
    };
    let policy = Policy {
        rules,
        pools: root.find("pools").map(|node| reader.read_pools(node)),
        patience: root.find("patience").map(|node| to_time(node.duration()).max(50 * MS)),
        retries: root.find("retries").map(Node::number),
        hash: xxhash_rust::xxh3::xxh3_64(root.to_string().as_bytes()),
    };
    match reader.diagnostics.is_empty() {
        true => Ok(policy),
        false => Err(invalid_file(name, text, &reader.diagnostics)),
    }
}

struct ConfigReader<'a> {
    names: Option<&'a Names>,
    diagnostics: Vec<Diagnostic>,
}

fn to_time(duration: Duration) -> Time {
    (duration.as_micros() / 100) as Time
}

impl ConfigReader<'_> {
    fn report(&mut self, node: &Node, path: &str, message: String) {
        self.diagnostics.push(Diagnostic::new(node.span_or_start(), path, message));
    }

    fn read_scgi(&mut self, node: &Node) -> Option<ScgiConfig> {
        let mut routes: Vec<Route> = Vec::new();
        for (index, route) in node.get("routes").list().iter().enumerate() {
            let path = format!("scgi.routes[{index}]");
            let read = self.read_route(route, &path);
            let is_duplicate = routes.iter().any(|known| {
                known.path == read.path && known.methods.iter().any(|method| read.methods.contains(method))
            });
            if is_duplicate {
                let message = format!("{:?} has a route for one of these methods already", read.path);
                self.report(route, &path, message);
            }
            routes.push(read);
        }
        let tenants = self.names.map_or(&[][..], |names| &names.tenants);
        let max_header_bytes = node.get("header").size() as usize;
        Some(ScgiConfig {
            listen: node.get("listen").address()?,
            connections: node.get("connections").int() as usize,
            bounds: Bounds {
                max_header_bytes,
                max_fields: node.get("fields").int() as usize,
                max_body_bytes: crate::frames::MAX_BODY_BYTES,
            },
            request_timeout: to_time(node.get("patience").duration()).max(50 * MS),
            routes: Rc::new(Routes::new(routes, tenants)),
        })
    }

    fn read_pools(&mut self, node: &Node) -> PoolsConfig {
        let limiter = match node.get("limiter").text() {
            "aimd" => Limiter::Aimd { max_latency_ratio: 2.0 },
            "vegas" => Limiter::Vegas,
            "pid" => Limiter::Pid { target_drop_ratio: 0.1 },
            "fixed" => Limiter::Fixed,
            _ => Limiter::Gradient { tolerance: 1.5 },
        };
        let names = self.names.map(|names| &names.classes[..]);
        let mut pools = Vec::new();
        // Without the names of the settings each distinct name counts as a request class.
        let mut known: Vec<String> = Vec::new();
        for (name, pool) in node.get("pools").fields() {
            let path = format!("pools.pools.{name}");
            let mut class_indices = Vec::new();
            for operation in pool.get("operations").list() {
                let text = operation.text().to_string();
                if names.is_none() && !known.contains(&text) {
                    known.push(text);
                }
                class_indices.push(self.resolve_name(
                    operation,
                    &path,
                    "operation",
                    Some(names.unwrap_or(&known)),
                ));
            }
            let number = |key: &str| pool.get(key).number();
            let (min, max, weight, reserve) =
                (number("least"), number("most"), number("weight"), number("reserve"));
            pools.push(PoolConfig {
                name: name.clone(),
                classes: class_indices,
                min_share: min,
                max_share: max,
                weight,
                reserve,
            });
        }
        let config = PoolsConfig { pools, limiter };
        let class_count = names.map_or(known.len(), <[String]>::len);
        for error in config.validate(class_count).err().unwrap_or_default() {
            let fields = node.get("pools").fields();
            let (pool, reason) = match &error {
                ConfigError::Pool { pool, error } => (fields.get(*pool), error.to_string()),
                ConfigError::SharesExceedWhole { .. } => (None, error.to_string()),
            };
            let (node, path) = match pool {
                Some((name, pool)) => (pool, format!("pools.pools.{name}")),
                None => (node.get("pools"), "pools.pools".to_string()),
            };
            self.report(node, &path, reason);
        }
        config
    }

    fn read_tier(&mut self, node: &Node) -> Option<TierConfig> {
        let mut planners: Vec<PlannerConfig> = Vec::new();
        let mut workers: Vec<WorkerConfig> = Vec::new();
        let duplicate = "the name or the address is taken";
        for planner in node.get("planners").list() {
            let (name, address) = (planner.get("name").text().to_string(), planner.get("address").address()?);
            if planners.iter().any(|known| known.name == name || known.address == address) {
                self.report(planner, "tier.planners", duplicate.into());
            }
            planners.push(PlannerConfig { name, address });
        }
        for worker in node.get("workers").list() {
            let (name, address) = (worker.get("name").text().to_string(), worker.get("address").address()?);
            if workers.iter().any(|known| known.name == name || known.address == address) {
                self.report(worker, "tier.workers", duplicate.into());
            }
            workers.push(WorkerConfig { name, address, slots: worker.get("places").int() as f64 });
        }
        if workers.is_empty() {
            self.report(node, "tier.workers", "expected at least one worker".into());
        }
        Some(TierConfig { listen: node.get("listen").address()?, planners, workers })
    }

    /// A list of peers with unique names and addresses.
    fn read_peers(&mut self, node: &Node, path: &str) -> Vec<(String, SocketAddr)> {
        let mut peers: Vec<(String, SocketAddr)> = Vec::new();
        for peer in node.list() {
            let Some(address) = peer.get("address").address() else { continue };
            let name = peer.get("name").text().to_string();
            if peers.iter().any(|known| known.0 == name || known.1 == address) {
                self.report(peer, path, "the name or the address is taken".into());
            }
            peers.push((name, address));
        }
        peers
    }

    /// Rejects relays with the address of a control replica. The control replica would respond to a member that polls it as a
    /// relay, under a name that the member's file gives to another peer.
    fn reject_replicas_as_relays(&mut self, operator: &OperatorConfig, node: Option<&Node>) {
        let (Some(rollout), Some(replicas), Some(node)) =
            (&operator.rollout, &operator.control_replicas, node)
        else {
            return;
        };
        for (_, address) in &rollout.relays {
            if let Some((replica, _)) = replicas.replicas.iter().find(|(_, known)| known == address) {
                let message = format!("{address} is the address of keeper {replica}");
                self.report(node.get("relays"), "rollout.relays", message);
            }
        }
    }

    fn read_rollout(&mut self, node: &Node) -> RolloutSettings {
        let relays = self.read_peers(node.get("relays"), "rollout.relays");
        if relays.len() > MAX_RELAYS {
            let message = format!("{} relays; a member asks {MAX_RELAYS} at the most", relays.len());
            self.report(node.get("relays"), "rollout.relays", message);
        }
        RolloutSettings {
            folder: node.get("folder").text().into(),
            start_alone_after: node.find("alone").map(|timeout| to_time(timeout.duration())),
            max_document_bytes: node.get("room").size() as usize,
            relays,
        }
    }

    fn read_relay(&mut self, node: &Node) -> Option<RelayConfig> {
        Some(RelayConfig {
            listen: node.get("listen").address()?,
            folder: node.get("folder").text().into(),
            max_lease: to_time(node.get("most").duration()),
        })
    }

    fn read_control_replicas(&mut self, node: &Node) -> Option<ControlReplicas> {
        let replicas = self.read_peers(node.get("all"), "keepers.all");
        if replicas.len() != 3 && replicas.len() != 5 {
            self.report(
                node.get("all"),
                "keepers.all",
                format!("expected 3 or 5 keepers, found {}", replicas.len()),
            );
        }
        let folder = node.find("folder").map(|folder| folder.text().into());
        Some(ControlReplicas { lease: to_time(node.get("lease").duration()), replicas, folder })
    }

    fn read_folders(&mut self, node: &Node, path: &str) -> Vec<PathBuf> {
        let folders: Vec<PathBuf> =
            node.get("folders").list().iter().map(|folder| folder.text().into()).collect();
        if folders.is_empty() {
            self.report(node, path, "expected at least one folder".into());
        }
        folders
    }

    fn read_reconcile(&mut self, node: &Node) -> Option<ReconcileConfig> {
        let folders = self.read_folders(node, "settle.folders");
        Some(ReconcileConfig {
            ledger: node.get("ledger").address()?,
            folders,
            interval: to_time(node.get("every").duration()),
        })
    }

    fn read_usage_report(&mut self, node: &Node) -> Option<UsageReportConfig> {
        let folders = self.read_folders(node, "sums.folders");
        let (hour_length, interval) =
            (to_time(node.get("span").duration()), to_time(node.get("every").duration()));
        Some(UsageReportConfig { ledger: node.get("ledger").address()?, folders, hour_length, interval })
    }

    fn read_counter_demo(&mut self, node: &Node) -> Option<CounterDemoConfig> {
        Some(CounterDemoConfig {
            task: node.get("duty").text().to_string(),
            partitions: node.get("parts").int() as u32,
            ledger: node.get("ledger").address()?,
            interval: to_time(node.get("every").duration()),
        })
    }

    fn read_backend(&mut self, node: &Node) -> Option<Backend> {
        let path = node.get("path");
        if !path.text().starts_with('/') || !is_value(path.text()) {
            self.report(path, "calls.scgi.path", "a path begins with '/'".into());
        }
        Some(Backend { address: node.get("address").address()?, path: path.text().to_string() })
    }

    fn read_header(&mut self, node: &Node, path: &str) -> Option<String> {
        let header = node.find("header")?;
        if !is_token(header.text()) {
            self.report(
                header,
                &format!("{path}.header"),
                format!("{:?} is no name of a header", header.text()),
            );
        }
        Some(header_variable(header.text()))
    }

    fn resolve_name(&mut self, node: &Node, path: &str, kind: &str, known: Option<&[String]>) -> usize {
        let Some(known) = known else { return 0 };
        let found = known.iter().position(|name| name == node.text());
        if found.is_none() {
            let message = format!("no {kind} {:?} in the settings; one of {}", node.text(), known.join(", "));
            self.report(node, path, message);
        }
        found.unwrap_or(0)
    }

    fn read_route(&mut self, node: &Node, path: &str) -> Route {
        let route_path = node.get("path");
        if !route_path.text().starts_with('/') {
            self.report(route_path, &format!("{path}.path"), "a path begins with '/'".into());
        }
        let content_type = node.get("content_type");
        if !is_value(content_type.text()) {
            let message = "not a valid header value".to_string();
            self.report(content_type, &format!("{path}.content_type"), message);
        }
        if node.get("methods").list().is_empty() {
            self.report(node, &format!("{path}.methods"), "expected at least one method".into());
        }
        let names = self.names;
        let classes = names.map(|names| &names.classes[..]);
        let tenants = names.map(|names| &names.tenants[..]);
        let tenant = node.get("customer");
        let field = |name: &str| format!("{path}.{name}");
        let default_tenant = tenant
            .find("default")
            .map(|node| self.resolve_name(node, &field("customer.default"), "customer", tenants));
        let default_time = |name: &str| node.get(name).find("default").map(|node| to_time(node.duration()));
        Route {
            path: route_path.text().to_string(),
            methods: node.get("methods").list().iter().map(|method| method.text().to_string()).collect(),
            class: self.resolve_name(node.get("operation"), &field("operation"), "operation", classes),
            tenant: HeaderOr {
                header: self.read_header(tenant, &field("customer")),
                default_value: default_tenant,
            },
            client_priority: HeaderOr {
                header: self.read_header(node.get("rank"), &field("rank")),
                default_value: node.get("rank").find("default").map_or(0.0, Node::number),
            },
            timeout: HeaderOr {
                header: self.read_header(node.get("within"), &field("within")),
                default_value: default_time("within"),
            },
            expected_work: HeaderOr {
                header: self.read_header(node.get("hint"), &field("hint")),
                default_value: default_time("hint"),
            },
            memory_kb: node.get("memory").size() as f64 / 1024.0,
            content_type: content_type.text().to_string(),
            idempotency_key_header: node
                .find("token")
                .and_then(|token| self.read_header(token, &field("token"))),
        }
    }
}
