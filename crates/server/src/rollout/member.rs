//! The task of a rollout member: its socket, its versions on the disk, and the activation of a version.

use super::admission_gate::AdmissionGate;
use super::disk::{VersionDisk, Written};
use super::document_store::{load_versions, MAX_STORED_VERSIONS};
use super::{check_version, Policy, RolloutSettings};
use crate::core::CoreEvent;
use crate::leases::known_replicas::KnownReplicas;
use crate::leases::wire::ControlMessage;
use crate::leases::{self, addresses_by_id, local_address, random_id, MonotonicClock};
use crate::log;
use crate::sockets::add_context;
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

/// Aborts the process at a step of its first change, if the environment variable `CLEAT_TEST_DIES` names that step. For tests only.
fn abort_at(step: &str) {
    if std::env::var("CLEAT_TEST_DIES").is_ok_and(|at| at == step) {
        std::process::abort();
    }
}

/// Applies the settings of an activated version that the core does not apply itself.
pub type ActivationHook = Box<dyn Fn(&Policy)>;

/// A rollout member: its protocol state, socket, disk and gate.
pub struct MemberTask {
    name: String,
    settings: RolloutSettings,
    names: Option<Rc<Names>>,
    gate: Rc<AdmissionGate>,
    /// The queue of the core, if there is one; a planner uses the gate only.
    core_queue: Option<Sender<CoreEvent>>,
    apply: ActivationHook,
    socket: UdpSocket,
    /// The peers that receive the requests: control replicas, or relays.
    replicas: KnownReplicas,
    clock: MonotonicClock,
    member: RolloutMember,
    policies: BTreeMap<u64, Policy>,
    /// Checked policies whose versions are being written to the disk.
    pending_writes: BTreeMap<u64, Policy>,
    disk: VersionDisk,
    /// The version that was active last, also in an earlier process.
    last_active: Option<u64>,
}

impl MemberTask {
    /// `targets` are the peers that receive the requests: control replicas or relays.
    pub async fn new(
        name: &str,
        targets: &[(String, SocketAddr)],
        settings: &RolloutSettings,
        names: Option<Rc<Names>>,
        core_queue: Option<Sender<CoreEvent>>,
        apply: ActivationHook,
    ) -> io::Result<MemberTask> {
        let socket =
            UdpSocket::bind(local_address(targets)).await.map_err(add_context("the rollout's socket"))?;
        let clock = MonotonicClock::start();
        let all = targets.iter().map(|(name, _)| node_id(name)).collect();
        let member = RolloutMember::new(clock.now(), name, (node_id(name), random_id(name)), all);
        let gate = Rc::new(AdmissionGate::new(clock, name));
        let mut task = MemberTask {
            name: name.to_string(),
            settings: settings.clone(),
            names,
            gate,
            core_queue,
            apply,
            socket,
            replicas: KnownReplicas::new(name, addresses_by_id(targets)),
            clock,
            member,
            policies: BTreeMap::from([(0, Policy::default())]),
            pending_writes: BTreeMap::new(),
            disk: VersionDisk::start(&settings.folder)?,
            last_active: None,
        };
        task.load_stored_versions();
        task.gate.record_event("started", 0);
        Ok(task)
    }

    pub fn gate(&self) -> Rc<AdmissionGate> {
        self.gate.clone()
    }

    /// Loads the versions that an earlier process stored.
    fn load_stored_versions(&mut self) {
        for version in load_versions(&self.settings.folder) {
            let number = version.number;
            match check_version(&version, self.settings.max_document_bytes, self.names.as_deref()) {
                Ok(policy) => {
                    self.policies.insert(number, policy);
                    self.member.restore(number);
                }
                Err(what) => log!("stored policy {number} cannot be applied here: {what}"),
            }
        }
        let text = std::fs::read_to_string(self.settings.folder.join("in_force")).unwrap_or_default();
        self.last_active = text.trim().parse().ok().filter(|number| self.policies.contains_key(number));
    }

    fn send_requests(&mut self, requests: Vec<(NodeId, Request)>) {
        for (to, request) in requests {
            if let Some(to) = self.replicas.next_address(to) {
                leases::send(&self.socket, to, &ControlMessage::RolloutRequest(request));
            }
        }
    }

    /// Runs until the member has left the rollout.
    pub async fn run(mut self) {
        let mut buffer = vec![0; message::MAX_DATAGRAM_BYTES + 1];
        let started_at = self.clock.now();
        let gate = self.gate.clone();
        let mut is_leaving = false;
        while !self.member.has_left() {
            let now = self.clock.now();
            if now >= self.member.next_deadline() {
                self.member.totals = gate.totals.get();
                let requests = self.member.tick(now);
                self.send_requests(requests);
            }
            let start_alone_at = self
                .settings
                .start_alone_after
                .map(|delay| started_at + delay)
                .filter(|_| self.member.active().is_none());
            if start_alone_at.is_some_and(|at| now >= at) && !is_leaving {
                let number = self.last_active.unwrap_or(0);
                self.settings.start_alone_after = None;
                log!("no keeper answers: {} begins under policy {number}, which it had last", self.name);
                self.member.start_alone(number);
            }
            self.gate.update(&self.member);
            self.handle_events().await;
            let wake_at =
                self.member.next_deadline().min(start_alone_at.unwrap_or(Time::MAX)).min(now + 10_000);
            let received = tokio::select! {
                () = sleep_until(self.clock.instant(wake_at)) => continue,
                () = gate.leave_requested.notified(), if !is_leaving => {
                    is_leaving = true;
                    let requests = self.member.leave(self.clock.now());
                    self.gate.update(&self.member);
                    self.send_requests(requests);
                    continue;
                }
                Some(written) = self.disk.next() => {
                    self.handle_written(written);
                    continue;
                }
                received = self.socket.recv_from(&mut buffer) => received,
            };
            let Ok((size, by)) = received else { continue }; // an ICMP error for an earlier datagram that had no receiver
            match message::decode::<ControlMessage>(&buffer[..size]) {
                Ok(ControlMessage::RolloutResponse { from, response }) if self.replicas.accepts(from, by) => {
                    self.member.totals = gate.totals.get();
                    let requests = self.member.handle(self.clock.now(), from, response);
                    self.gate.update(&self.member);
                    self.send_requests(requests);
                    self.handle_events().await;
                }
                Ok(ControlMessage::ReplicaAddress { replica, address })
                    if self.replicas.learn(by, replica, address) =>
                {
                    self.member.add_replica(replica);
                }
                _ => {}
            }
        }
        self.disk.finish().await;
        gate.leave_done.notify_one();
    }

    async fn handle_events(&mut self) {
        loop {
            let events: Vec<MemberEvent> = self.member.events().collect();
            if events.is_empty() {
                return;
            }
            for event in events {
                match event {
                    MemberEvent::Check { version, .. } => self.check_proposed(*version),
                    MemberEvent::Activated { number } => self.activate(number).await,
                    MemberEvent::LeaseExpired { number } => {
                        log!("out of service: no keeper has renewed the lease on policy {number}");
                        self.gate.close(number);
                        self.notify_core(CoreEvent::GateChanged).await;
                    }
                    MemberEvent::Paused { change } => {
                        log!("holds what comes until policy {change} is in force")
                    }
                }
            }
        }
    }

    async fn notify_core(&self, note: CoreEvent) {
        if let Some(core_queue) = &self.core_queue {
            let _ = core_queue.send(note).await;
        }
    }

    /// Checks a version in full. A version that can be applied is written to the disk before the member votes for it.
    fn check_proposed(&mut self, version: Version) {
        let number = version.number;
        // The document arrived again because the write takes long.
        if self.pending_writes.contains_key(&number) {
            return;
        }
        abort_at("before_check");
        let reason = match check_version(&version, self.settings.max_document_bytes, self.names.as_deref()) {
            // The active version is never removed: any number of later changes may be aborted.
            Ok(policy) if self.disk.write_version(version, self.last_active) => {
                self.pending_writes.insert(number, policy);
                return;
            }
            Ok(_) => "the version cannot be stored: the disk's write queue is full".to_string(),
            Err(what) => what,
        };
        self.report_verdict(number, Verdict::Refused(truncate(&reason, MAX_REASON_BYTES)));
    }

    /// Handles the result of a version write.
    fn handle_written(&mut self, Written { number, result }: Written) {
        let Some(policy) = self.pending_writes.remove(&number) else { return };
        let verdict = match result {
            Ok(()) => {
                self.policies.insert(number, policy);
                self.remove_old_policies();
                Verdict::Prepared
            }
            Err(error) => Verdict::Refused(truncate(
                &format!("the version cannot be stored: {error}"),
                MAX_REASON_BYTES,
            )),
        };
        self.report_verdict(number, verdict);
    }

    fn remove_old_policies(&mut self) {
        let spared = [Some(0), self.last_active, Some(self.member.last_reported().0)];
        while self.policies.len() > MAX_STORED_VERSIONS + 2 {
            let mut known = self.policies.keys().copied();
            let Some(old) = known.find(|number| !spared.contains(&Some(*number))) else {
                break;
            };
            self.policies.remove(&old);
        }
    }

    fn report_verdict(&mut self, number: u64, verdict: Verdict) {
        if let Verdict::Refused(what) = &verdict {
            log!("policy {number} can't be carried out here: {what}");
        }
        abort_at("kept");
        let requests = self.member.record_verdict(self.clock.now(), number, verdict);
        self.gate.update(&self.member);
        self.send_requests(requests);
        abort_at("said_yes");
    }

    async fn activate(&mut self, number: u64) {
        let Some(policy) = self.policies.get(&number).cloned() else { return };
        if number > 0 {
            abort_at("heard");
        }
        let rules = policy.rules;
        log!(
            "policy {number} is in force here: missing {:?}, lease {} ms",
            rules.unreachable,
            rules.lease / 10
        );
        (self.apply)(&policy);
        match self.core_queue {
            Some(_) => self.notify_core(CoreEvent::PolicyActivated { number, pools: policy.pools }).await,
            None => self.gate.apply(number),
        }
        if number > 0 {
            abort_at("in_force");
        }
        if self.last_active != Some(number) {
            self.last_active = Some(number);
            self.disk.write_active(number);
        }
    }
}
