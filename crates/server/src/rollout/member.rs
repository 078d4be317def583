//! The member's task: its socket, its texts on the disk, what is to be done when a version comes in force.

use super::disk::{VersionDisk, Written};
use super::gate::Gate;
use super::texts::{load, KEPT};
use super::{check, Policy, Rollout};
use crate::core::CoreEvent;
use crate::leases::known_replicas::KnownReplicas;
use crate::leases::wire::Wire;
use crate::leases::{self, addresses, drawn, from, Steady};
use crate::log;
use crate::sockets::tried;
use cypresscleat_consensus::message;
use cypresscleat_rollout::member::{MemberEvent, RolloutMember};
use cypresscleat_rollout::messages::{Request, Verdict};
use cypresscleat_rollout::{node_id, truncate, NodeId, Time, Version, MAX_REASON_BYTES};
use cypresscleat_settings::Names;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep_until;

/// `CLEAT_TEST_DIES=STEP`, for tests only: the process ends there, at once, in its first change.
fn dies(step: &str) {
    if std::env::var("CLEAT_TEST_DIES").is_ok_and(|at| at == step) {
        std::process::abort();
    }
}

/// What is done when a version comes in force, beside what the core does.
pub type Apply = Box<dyn Fn(&Policy)>;

pub struct Task {
    name: String,
    set: Rollout,
    names: Option<Rc<Names>>,
    gate: Rc<Gate>,
    /// Where there is a core; a planner goes by the gate alone.
    queue: Option<Sender<CoreEvent>>,
    apply: Apply,
    socket: UdpSocket,
    /// Whom it asks: control replicas, or relays.
    replicas: KnownReplicas,
    clock: Steady,
    member: RolloutMember,
    policies: BTreeMap<u64, Policy>,
    /// Checked, and on their way to the disk.
    checked: BTreeMap<u64, Policy>,
    disk: VersionDisk,
    last: Option<u64>,
}

impl Task {
    /// `above` is whom it asks: keepers, or relays.
    pub async fn new(
        name: &str,
        above: &[(String, SocketAddr)],
        set: &Rollout,
        names: Option<Rc<Names>>,
        queue: Option<Sender<CoreEvent>>,
        apply: Apply,
    ) -> io::Result<Task> {
        let socket = UdpSocket::bind(from(above)).await.map_err(tried("the rollout's socket"))?;
        let clock = Steady::start();
        let all = above.iter().map(|(name, _)| node_id(name)).collect();
        let member = RolloutMember::new(clock.now(), name, (node_id(name), drawn(name)), all);
        let gate = Rc::new(Gate::new(clock, name));
        let mut task = Task {
            name: name.to_string(),
            set: set.clone(),
            names,
            gate,
            queue,
            apply,
            socket,
            replicas: KnownReplicas::new(name, addresses(above)),
            clock,
            member,
            policies: BTreeMap::from([(0, Policy::default())]),
            checked: BTreeMap::new(),
            disk: VersionDisk::start(&set.folder)?,
            last: None,
        };
        task.loads();
        task.gate.tell("started", 0);
        Ok(task)
    }

    pub fn gate(&self) -> Rc<Gate> {
        self.gate.clone()
    }

    /// What an earlier life kept.
    fn loads(&mut self) {
        for version in load(&self.set.folder) {
            let number = version.number;
            match check(&version, self.set.room, self.names.as_deref()) {
                Ok(policy) => {
                    self.policies.insert(number, policy);
                    self.member.restore(number);
                }
                Err(what) => log!("policy {number} was kept and can't be carried out: {what}"),
            }
        }
        let text = std::fs::read_to_string(self.set.folder.join("in_force")).unwrap_or_default();
        self.last = text.trim().parse().ok().filter(|number| self.policies.contains_key(number));
    }

    fn post(&mut self, asks: Vec<(NodeId, Request)>) {
        for (to, ask) in asks {
            if let Some(to) = self.replicas.next_address(to) {
                leases::send(&self.socket, to, &Wire::PolicyAsk(ask));
            }
        }
    }

    /// Lives until the program ends.
    pub async fn run(mut self) {
        let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES + 1];
        let began = self.clock.now();
        let gate = self.gate.clone();
        let mut leaving = false;
        while !self.member.has_left() {
            let now = self.clock.now();
            if now >= self.member.next_deadline() {
                self.member.totals = gate.seen.get();
                let asks = self.member.tick(now);
                self.post(asks);
            }
            let alone = self.set.alone.map(|alone| began + alone).filter(|_| self.member.active().is_none());
            if alone.is_some_and(|at| now >= at) && !leaving {
                let number = self.last.unwrap_or(0);
                self.set.alone = None;
                log!("no keeper answers: {} begins under policy {number}, which it had last", self.name);
                self.member.start_alone(number);
            }
            self.gate.follow(&self.member);
            self.events().await;
            let due = self.member.next_deadline().min(alone.unwrap_or(Time::MAX)).min(now + 10_000);
            let got = tokio::select! {
                () = sleep_until(self.clock.instant(due)) => continue,
                () = gate.leaves.notified(), if !leaving => {
                    leaving = true;
                    let asks = self.member.leave(self.clock.now());
                    self.gate.follow(&self.member);
                    self.post(asks);
                    continue;
                }
                Some(written) = self.disk.next() => {
                    self.written(written);
                    continue;
                }
                got = self.socket.recv_from(&mut bytes) => got,
            };
            let Ok((size, by)) = got else { continue }; // word of an earlier datagram that found nobody
            match message::decode::<Wire>(&bytes[..size]) {
                Ok(Wire::PolicyAnswer { from, answer }) if self.replicas.accepts(from, by) => {
                    self.member.totals = gate.seen.get();
                    let asks = self.member.handle(self.clock.now(), from, answer);
                    self.gate.follow(&self.member);
                    self.post(asks);
                    self.events().await;
                }
                Ok(Wire::At { keeper, address }) if self.replicas.learn(by, keeper, address) => {
                    self.member.add_replica(keeper);
                }
                _ => {}
            }
        }
        self.disk.finish().await;
        gate.left.notify_one();
    }

    async fn events(&mut self) {
        loop {
            let events: Vec<MemberEvent> = self.member.events().collect();
            if events.is_empty() {
                return;
            }
            for event in events {
                match event {
                    MemberEvent::Check { version, .. } => self.checks(*version),
                    MemberEvent::Activated { number } => self.in_force(number).await,
                    MemberEvent::LeaseExpired { number } => {
                        log!("out of service: no keeper has renewed the lease on policy {number}");
                        self.gate.out(number);
                        self.says(CoreEvent::GateChanged).await;
                    }
                    MemberEvent::Paused { change } => {
                        log!("holds what comes until policy {change} is in force")
                    }
                }
            }
        }
    }

    async fn says(&self, note: CoreEvent) {
        if let Some(queue) = &self.queue {
            let _ = queue.send(note).await;
        }
    }

    /// Checks a version in full. One that can be carried out is put on the disk before a word of that leaves.
    fn checks(&mut self, version: Version) {
        let number = version.number;
        // It came again, as its check takes long.
        if self.checked.contains_key(&number) {
            return;
        }
        dies("before_check");
        let refused = match check(&version, self.set.room, self.names.as_deref()) {
            // The last one is spared: changes that are dropped may be many.
            Ok(policy) if self.disk.write_version(version, self.last) => {
                self.checked.insert(number, policy);
                return;
            }
            Ok(_) => "it can't be kept: the disk is behind".to_string(),
            Err(what) => what,
        };
        self.tells_verdict(number, Verdict::Refused(truncate(&refused, MAX_REASON_BYTES)));
    }

    /// A version is on the disk, or can't be.
    fn written(&mut self, Written { number, result }: Written) {
        let Some(policy) = self.checked.remove(&number) else { return };
        let verdict = match result {
            Ok(()) => {
                self.policies.insert(number, policy);
                self.forgets_old_policies();
                Verdict::Prepared
            }
            Err(error) => Verdict::Refused(truncate(&format!("it can't be kept: {error}"), MAX_REASON_BYTES)),
        };
        self.tells_verdict(number, verdict);
    }

    fn forgets_old_policies(&mut self) {
        let spared = [Some(0), self.last, Some(self.member.told().0)];
        while self.policies.len() > KEPT + 2 {
            let mut old = self.policies.keys().copied();
            let Some(old) = old.find(|known| !spared.contains(&Some(*known))) else {
                break;
            };
            self.policies.remove(&old);
        }
    }

    fn tells_verdict(&mut self, number: u64, verdict: Verdict) {
        if let Verdict::Refused(what) = &verdict {
            log!("policy {number} can't be carried out here: {what}");
        }
        dies("kept");
        let asks = self.member.record_verdict(self.clock.now(), number, verdict);
        self.gate.follow(&self.member);
        self.post(asks);
        dies("said_yes");
    }

    async fn in_force(&mut self, number: u64) {
        let Some(policy) = self.policies.get(&number).cloned() else { return };
        if number > 0 {
            dies("heard");
        }
        let rules = policy.rules;
        log!(
            "policy {number} is in force here: missing {:?}, lease {} ms",
            rules.unreachable,
            rules.lease / 10
        );
        (self.apply)(&policy);
        match self.queue {
            Some(_) => self.says(CoreEvent::PolicyActivated { number, pools: policy.pools }).await,
            None => self.gate.apply(number),
        }
        if number > 0 {
            dies("in_force");
        }
        if self.last != Some(number) {
            self.last = Some(number);
            self.disk.write_active(number);
        }
    }
}
