//! The only reader of the operator's file: text to typed settings, against the schema in `operator.cue`.

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
use cypresscleat_operator_config::{render, Fault, Node, Schema};
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
/// Relays that one member asks, at the most.
const RELAYS: usize = 8;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub scgi: Option<Scgi>,
    pub backend: Option<Backend>,
    /// None: every operation takes what it gets.
    pub pools: PoolsConfig,
    pub store: Option<Kept>,
    pub tier: Option<TierConfig>,
    pub control_replicas: Option<ControlReplicas>,
    pub counter_demo: Option<CounterDemoConfig>,
    pub reconcile: Option<ReconcileConfig>,
    pub usage_report: Option<UsageReportConfig>,
    pub rollout: Option<RolloutSettings>,
    pub relay: Option<RelayConfig>,
}

/// The store, as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    pub folder: PathBuf,
    pub durability: Durability,
    pub after: bool,
    pub refuse: bool,
    pub segment: u64,
    /// Billing rows are summed by so many milliseconds.
    pub hours: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scgi {
    pub listen: SocketAddr,
    pub connections: usize,
    pub bounds: Bounds,
    pub patience: Time,
    pub routes: Rc<Routes>,
}

/// What is wrong with a file: as a person reads it, and a line for each fault.
#[derive(Clone, Debug)]
pub struct InvalidFile {
    pub rendered: String,
    pub lines: Vec<String>,
}

fn wrong(name: &str, text: &str, faults: &[Fault]) -> InvalidFile {
    let lines = faults.iter().map(|fault| format!("{name}:{}", fault.line(text))).collect();
    InvalidFile { rendered: render(name, text, faults), lines }
}

/// The schema is this program's own: checked at each start, and a fault in it is told like any other.
pub fn schema() -> Result<Schema, InvalidFile> {
    Schema::new(SCHEMA).map_err(|faults| wrong("the program's own schema", SCHEMA, &faults))
}

pub fn read(path: &Path, names: Option<&Names>) -> Result<(OperatorConfig, Node), InvalidFile> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        let line = format!("{name}: {error}");
        InvalidFile { rendered: format!("{line}\n"), lines: vec![line] }
    })?;
    parse(&name, &text, names)
}

/// Without `names` operations and customers are taken as they stand.
pub fn parse(name: &str, text: &str, names: Option<&Names>) -> Result<(OperatorConfig, Node), InvalidFile> {
    let schema = schema()?;
    let root = schema.read(text).map_err(|faults| wrong(name, text, &faults))?;
    let mut reader = Reader { names, faults: Vec::new() };
    let operator = OperatorConfig {
        scgi: root.find("scgi").and_then(|node| reader.scgi(node)),
        backend: root.find("calls").and_then(|node| reader.backend(node.get("scgi"))),
        tier: root.find("tier").and_then(|node| reader.tier(node)),
        control_replicas: root.find("keepers").and_then(|node| reader.keepers(node)),
        counter_demo: root.find("tally").and_then(|node| reader.tally(node)),
        reconcile: root.find("settle").and_then(|node| reader.settle(node)),
        rollout: root.find("rollout").map(|node| reader.rollout(node)),
        relay: root.find("relay").and_then(|node| reader.relay(node)),
        usage_report: root.find("sums").and_then(|node| reader.sums(node)),
        store: root.find("store").map(|node| Kept {
            folder: node.get("folder").text().into(),
            durability: match node.get("durability").text() {
                "each" => Durability::Each,
                "none" => Durability::None,
                _ => Durability::Group(node.get("within").duration()),
            },
            after: node.get("answer").text() == "after",
            refuse: node.get("full").text() == "refuse",
            segment: node.get("segment").size(),
            hours: node.find("hours").map(|hours| hours.duration().as_millis() as u64),
        }),
        pools: root.find("pools").map_or_else(PoolsConfig::default, |node| reader.pools(node)),
    };
    reader.refuse_keepers_as_relays(&operator, root.find("rollout"));
    let direct = operator.rollout.as_ref().is_some_and(|rollout| rollout.relays.is_empty());
    for (key, asks) in [("rollout", direct), ("relay", operator.relay.is_some())] {
        if let (Some(node), None, true) = (root.find(key), &operator.control_replicas, asks) {
            reader.fault(node, key, "it needs keepers".into());
        }
    }
    if reader.faults.is_empty() {
        Ok((operator, root))
    } else {
        Err(wrong(name, text, &reader.faults))
    }
}

/// A policy's text, against its own schema, which shares the definitions of the operator's file.
pub fn parse_policy(name: &str, text: &str, names: Option<&Names>) -> Result<Policy, InvalidFile> {
    if text.is_empty() {
        return Ok(Policy { hash: 0, ..Policy::default() });
    }
    let all = format!("{}\n{}", SCHEMA.replace("#Root: {", "#Operator: {"), include_str!("policy.cue"));
    let schema =
        Schema::new(&all).map_err(|faults| wrong("the program's own schema of policies", &all, &faults))?;
    let root = schema.read(text).map_err(|faults| wrong(name, text, &faults))?;
    let mut reader = Reader { names, faults: Vec::new() };
    let rules = Rules {
        unreachable: match root.get("missing").text() {
            "wait" => UnreachableMembers::Wait,
            _ => UnreachableMembers::Fence,
        },
        lease: time(root.get("lease").duration()),
        decision_timeout: time(root.get("within").duration()),
        barrier: root.get("together").flag(),
        watch: root.find("watch").map(|node| WatchRules {
            share: (node.get("share").number() * 1000.0).round() as u32,
            within: time(node.get("within").duration()),
        }),
    };
    let policy = Policy {
        rules,
        pools: root.find("pools").map(|node| reader.pools(node)),
        patience: root.find("patience").map(|node| time(node.duration()).max(50 * MS)),
        retries: root.find("retries").map(Node::number),
        hash: xxhash_rust::xxh3::xxh3_64(root.to_string().as_bytes()),
    };
    match reader.faults.is_empty() {
        true => Ok(policy),
        false => Err(wrong(name, text, &reader.faults)),
    }
}

struct Reader<'a> {
    names: Option<&'a Names>,
    faults: Vec<Fault>,
}

fn time(span: Duration) -> Time {
    (span.as_micros() / 100) as Time
}

impl Reader<'_> {
    fn fault(&mut self, node: &Node, path: &str, what: String) {
        self.faults.push(Fault::new(node.place(), path, what));
    }

    fn scgi(&mut self, node: &Node) -> Option<Scgi> {
        let mut routes: Vec<Route> = Vec::new();
        for (at, route) in node.get("routes").list().iter().enumerate() {
            let path = format!("scgi.routes[{at}]");
            let read = self.route(route, &path);
            let twice = routes.iter().any(|known| {
                known.path == read.path && known.methods.iter().any(|method| read.methods.contains(method))
            });
            if twice {
                let what = format!("{:?} has a route for one of these methods already", read.path);
                self.fault(route, &path, what);
            }
            routes.push(read);
        }
        let customers = self.names.map_or(&[][..], |names| &names.tenants);
        let max_header_bytes = node.get("header").size() as usize;
        Some(Scgi {
            listen: node.get("listen").address()?,
            connections: node.get("connections").int() as usize,
            bounds: Bounds {
                max_header_bytes,
                max_fields: node.get("fields").int() as usize,
                max_body_bytes: crate::frames::MAX_BODY_BYTES,
            },
            patience: time(node.get("patience").duration()).max(50 * MS),
            routes: Rc::new(Routes::new(routes, customers)),
        })
    }

    fn pools(&mut self, node: &Node) -> PoolsConfig {
        let limiter = match node.get("limiter").text() {
            "aimd" => Limiter::Aimd { max_latency_ratio: 2.0 },
            "vegas" => Limiter::Vegas,
            "pid" => Limiter::Pid { target_drop_ratio: 0.1 },
            "fixed" => Limiter::Fixed,
            _ => Limiter::Gradient { tolerance: 1.5 },
        };
        let names = self.names.map(|names| &names.classes[..]);
        let mut pools = Vec::new();
        // Without the settings' names each name counts as an operation of its own.
        let mut known: Vec<String> = Vec::new();
        for (name, pool) in node.get("pools").fields() {
            let path = format!("pools.pools.{name}");
            let mut operations = Vec::new();
            for operation in pool.get("operations").list() {
                let text = operation.text().to_string();
                if names.is_none() && !known.contains(&text) {
                    known.push(text);
                }
                operations.push(self.place(operation, &path, "operation", Some(names.unwrap_or(&known))));
            }
            let part = |key: &str| pool.get(key).number();
            let (least, most, weight, reserve) =
                (part("least"), part("most"), part("weight"), part("reserve"));
            pools.push(PoolConfig {
                name: name.clone(),
                classes: operations,
                min_share: least,
                max_share: most,
                weight,
                reserve,
            });
        }
        let setup = PoolsConfig { pools, limiter };
        let operations = names.map_or(known.len(), <[String]>::len);
        for error in setup.validate(operations).err().unwrap_or_default() {
            let fields = node.get("pools").fields();
            let (pool, reason) = match &error {
                ConfigError::Pool { pool, error } => (fields.get(*pool), error.to_string()),
                ConfigError::SharesExceedWhole { .. } => (None, error.to_string()),
            };
            let (at, path) = match pool {
                Some((name, pool)) => (pool, format!("pools.pools.{name}")),
                None => (node.get("pools"), "pools.pools".to_string()),
            };
            self.fault(at, &path, reason);
        }
        setup
    }

    fn tier(&mut self, node: &Node) -> Option<TierConfig> {
        let mut planners: Vec<PlannerConfig> = Vec::new();
        let mut workers: Vec<WorkerConfig> = Vec::new();
        let taken = "the name or the address is taken";
        for planner in node.get("planners").list() {
            let (name, address) = (planner.get("name").text().to_string(), planner.get("address").address()?);
            if planners.iter().any(|known| known.name == name || known.address == address) {
                self.fault(planner, "tier.planners", taken.into());
            }
            planners.push(PlannerConfig { name, address });
        }
        for worker in node.get("workers").list() {
            let (name, address) = (worker.get("name").text().to_string(), worker.get("address").address()?);
            if workers.iter().any(|known| known.name == name || known.address == address) {
                self.fault(worker, "tier.workers", taken.into());
            }
            workers.push(WorkerConfig { name, address, slots: worker.get("places").int() as f64 });
        }
        if workers.is_empty() {
            self.fault(node, "tier.workers", "no worker".into());
        }
        Some(TierConfig { listen: node.get("listen").address()?, planners, workers })
    }

    /// A list of peers; no name and no address stands in it twice.
    fn peers(&mut self, node: &Node, path: &str) -> Vec<(String, SocketAddr)> {
        let mut all: Vec<(String, SocketAddr)> = Vec::new();
        for peer in node.list() {
            let Some(address) = peer.get("address").address() else { continue };
            let name = peer.get("name").text().to_string();
            if all.iter().any(|known| known.0 == name || known.1 == address) {
                self.fault(peer, path, "the name or the address is taken".into());
            }
            all.push((name, address));
        }
        all
    }

    /// A member that asks a keeper as if it were a relay would be answered, under a name that its file gives to somebody else.
    fn refuse_keepers_as_relays(&mut self, operator: &OperatorConfig, node: Option<&Node>) {
        let (Some(rollout), Some(keepers), Some(node)) =
            (&operator.rollout, &operator.control_replicas, node)
        else {
            return;
        };
        for (_, address) in &rollout.relays {
            if let Some((keeper, _)) = keepers.replicas.iter().find(|(_, known)| known == address) {
                let what = format!("{address} is the address of keeper {keeper}");
                self.fault(node.get("relays"), "rollout.relays", what);
            }
        }
    }

    fn rollout(&mut self, node: &Node) -> RolloutSettings {
        let relays = self.peers(node.get("relays"), "rollout.relays");
        if relays.len() > RELAYS {
            let what = format!("{} relays; a member asks {RELAYS} at the most", relays.len());
            self.fault(node.get("relays"), "rollout.relays", what);
        }
        RolloutSettings {
            folder: node.get("folder").text().into(),
            start_alone_after: node.find("alone").map(|alone| time(alone.duration())),
            max_document_bytes: node.get("room").size() as usize,
            relays,
        }
    }

    fn relay(&mut self, node: &Node) -> Option<RelayConfig> {
        Some(RelayConfig {
            listen: node.get("listen").address()?,
            folder: node.get("folder").text().into(),
            max_lease: time(node.get("most").duration()),
        })
    }

    fn keepers(&mut self, node: &Node) -> Option<ControlReplicas> {
        let replicas = self.peers(node.get("all"), "keepers.all");
        if replicas.len() != 3 && replicas.len() != 5 {
            self.fault(
                node.get("all"),
                "keepers.all",
                format!("{} keepers; three or five can agree", replicas.len()),
            );
        }
        let folder = node.find("folder").map(|folder| folder.text().into());
        Some(ControlReplicas { lease: time(node.get("lease").duration()), replicas, folder })
    }

    fn folders(&mut self, node: &Node, path: &str) -> Vec<PathBuf> {
        let folders: Vec<PathBuf> = node.get("folders").list().iter().map(|one| one.text().into()).collect();
        if folders.is_empty() {
            self.fault(node, path, "no folder".into());
        }
        folders
    }

    fn settle(&mut self, node: &Node) -> Option<ReconcileConfig> {
        let folders = self.folders(node, "settle.folders");
        Some(ReconcileConfig {
            ledger: node.get("ledger").address()?,
            folders,
            interval: time(node.get("every").duration()),
        })
    }

    fn sums(&mut self, node: &Node) -> Option<UsageReportConfig> {
        let folders = self.folders(node, "sums.folders");
        let (hour_length, interval) = (time(node.get("span").duration()), time(node.get("every").duration()));
        Some(UsageReportConfig { ledger: node.get("ledger").address()?, folders, hour_length, interval })
    }

    fn tally(&mut self, node: &Node) -> Option<CounterDemoConfig> {
        Some(CounterDemoConfig {
            task: node.get("duty").text().to_string(),
            partitions: node.get("parts").int() as u32,
            ledger: node.get("ledger").address()?,
            interval: time(node.get("every").duration()),
        })
    }

    fn backend(&mut self, node: &Node) -> Option<Backend> {
        let path = node.get("path");
        if !path.text().starts_with('/') || !is_value(path.text()) {
            self.fault(path, "calls.scgi.path", "a path begins with '/'".into());
        }
        Some(Backend { address: node.get("address").address()?, path: path.text().to_string() })
    }

    fn header(&mut self, node: &Node, path: &str) -> Option<String> {
        let header = node.find("header")?;
        if !is_token(header.text()) {
            self.fault(
                header,
                &format!("{path}.header"),
                format!("{:?} is no name of a header", header.text()),
            );
        }
        Some(header_variable(header.text()))
    }

    fn place(&mut self, node: &Node, path: &str, what: &str, known: Option<&[String]>) -> usize {
        let Some(known) = known else { return 0 };
        let found = known.iter().position(|name| name == node.text());
        if found.is_none() {
            let what = format!("no {what} {:?} in the settings; one of {}", node.text(), known.join(", "));
            self.fault(node, path, what);
        }
        found.unwrap_or(0)
    }

    fn route(&mut self, node: &Node, path: &str) -> Route {
        let at = node.get("path");
        if !at.text().starts_with('/') {
            self.fault(at, &format!("{path}.path"), "a path begins with '/'".into());
        }
        let kind = node.get("content_type");
        if !is_value(kind.text()) {
            let what = "a header can't hold this".to_string();
            self.fault(kind, &format!("{path}.content_type"), what);
        }
        if node.get("methods").list().is_empty() {
            self.fault(node, &format!("{path}.methods"), "a route without a method".into());
        }
        let names = self.names;
        let operations = names.map(|names| &names.classes[..]);
        let customers = names.map(|names| &names.tenants[..]);
        let customer = node.get("customer");
        let inner = |name: &str| format!("{path}.{name}");
        let default = customer
            .find("default")
            .map(|node| self.place(node, &inner("customer.default"), "customer", customers));
        let span = |name: &str| node.get(name).find("default").map(|node| time(node.duration()));
        Route {
            path: at.text().to_string(),
            methods: node.get("methods").list().iter().map(|method| method.text().to_string()).collect(),
            class: self.place(node.get("operation"), &inner("operation"), "operation", operations),
            tenant: HeaderOr { header: self.header(customer, &inner("customer")), default_value: default },
            client_priority: HeaderOr {
                header: self.header(node.get("rank"), &inner("rank")),
                default_value: node.get("rank").find("default").map_or(0.0, Node::number),
            },
            timeout: HeaderOr {
                header: self.header(node.get("within"), &inner("within")),
                default_value: span("within"),
            },
            expected_work: HeaderOr {
                header: self.header(node.get("hint"), &inner("hint")),
                default_value: span("hint"),
            },
            memory_kb: node.get("memory").size() as f64 / 1024.0,
            content_type: kind.text().to_string(),
            idempotency_key_header: node.find("token").and_then(|token| self.header(token, &inner("token"))),
        }
    }
}
