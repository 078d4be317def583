//! The datagram socket of a member: membership, load reports and grants, and the forwarder's exchange with the planners. The
//! planner's side is in `crate::planner`.

use super::worker_fleet::WorkerFleet;
use super::TierConfig;
use crate::clock::Clock;
use crate::log;
use crate::rollout::admission_gate::AdmissionGate;
use crate::sockets::add_context;
use cypresscleat_forwarding::grants::{GrantHeader, GRANT_RENEWAL_INTERVAL};
use cypresscleat_forwarding::membership::{Membership, MembershipConfig, OutgoingMessage};
use cypresscleat_forwarding::messages::{self, Decoded, Envelope, LoadReport, Message, Role};
use cypresscleat_forwarding::{node_id, Time};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Instant};

/// The datagram socket of a member, with its membership state.
pub struct ClusterSocket {
    pub socket: UdpSocket,
    pub membership: Membership,
    clock: Clock,
    bytes: Vec<u8>,
    /// Set where instances run under a fleet policy: sent messages then name the policy version, and received ones have to.
    pub gate: Option<Rc<AdmissionGate>>,
    /// The last logged mismatch of policy versions: the sender's and this instance's.
    mismatch: Option<(u64, u64)>,
}

impl ClusterSocket {
    pub async fn new(
        name: &str,
        role: Role,
        tier: &TierConfig,
        clock: Clock,
        seed: u64,
    ) -> io::Result<ClusterSocket> {
        let with_context = add_context(format_args!("tier.listen {}", tier.listen).to_string());
        let socket = UdpSocket::bind(tier.listen).await.map_err(with_context)?;
        let local_address = socket.local_addr()?;
        log!("{} hears members at {local_address}", name);
        let seeds = tier.planners.iter().map(|planner| planner.address).collect();
        let membership =
            Membership::new(node_id(name), role, local_address, seeds, MembershipConfig::default(), seed);
        let bytes = vec![0; messages::MAX_MESSAGE_BYTES + 8];
        Ok(ClusterSocket { socket, membership, clock, bytes, gate: None, mismatch: None })
    }

    /// Sends each message that fits into a datagram. Lost datagrams are not resent.
    pub fn send(&self, messages_to_send: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, envelope } in messages_to_send {
            let mut bytes = Vec::new();
            if messages::encode(&mut bytes, &envelope) {
                let _ = self.socket.try_send_to(&bytes, to);
            }
        }
    }

    /// Wraps a message into an envelope from this member, under the policy version if there is one.
    pub fn envelope(&self, message: Message) -> Envelope {
        let own = self.membership.own();
        let message = match &self.gate {
            Some(gate) => Message::WithPolicyVersion {
                version: gate.version().unwrap_or(0),
                message: Box::new(message),
            },
            None => message,
        };
        Envelope { from: own.id, incarnation: own.incarnation, updates: Vec::new(), message }
    }

    /// Returns the load report or the grants that may be used. Grants under another policy version are dropped: their slots were
    /// computed under other rules. Load reports of any version are used: they state only arrivals and observations.
    fn check_policy_version(&mut self, message: Message) -> Option<Message> {
        let (sender_version, message) = match message {
            Message::WithPolicyVersion { version, message } => (Some(version), *message),
            message => (None, message),
        };
        if !matches!(message, Message::Report(_) | Message::Grants { .. }) {
            return None;
        }
        let Some(gate) = &self.gate else { return Some(message) };
        let (sender_version, own_version) = (sender_version.unwrap_or(0), gate.version().unwrap_or(0));
        let mismatch = (sender_version != own_version).then_some((sender_version, own_version));
        if self.mismatch != mismatch {
            match mismatch {
                Some((sender_version, own_version)) => {
                    log!("hears of policy {sender_version}, and goes by policy {own_version}: its grants are not used")
                }
                None => log!("all messages are under policy {own_version} again"),
            }
            self.mismatch = mismatch;
        }
        (mismatch.is_none() || matches!(message, Message::Report(_))).then_some(message)
    }

    /// The next load report or grants, or `None` at `until`. Runs the membership protocol meanwhile.
    pub async fn receive(&mut self, until: Time) -> Option<(SocketAddr, Envelope)> {
        loop {
            let now = self.clock.now();
            if now >= self.membership.next_deadline() {
                let out = self.membership.tick(now);
                self.send(out);
                for change in self.membership.take_changes() {
                    log!("member {:016x}, a {:?}: {:?}", change.id, change.role, change.to);
                }
            }
            if now >= until {
                return None;
            }
            let wake_at = self.clock.instant(until.min(self.membership.next_deadline()));
            let (size, from) = tokio::select! {
                () = sleep_until(Instant::from_std(wake_at)) => continue,
                datagram = self.socket.recv_from(&mut self.bytes) => match datagram {
                    Ok(datagram) => datagram,
                    Err(_) => continue, // reports that an earlier datagram was undeliverable
                },
            };
            let Decoded::Message(envelope, read) = messages::decode(&self.bytes[..size]) else { continue };
            if read != size {
                continue;
            }
            let now = self.clock.now();
            let out = self.membership.handle(now, from, &envelope);
            self.send(out);
            if let Some(message) = self.check_policy_version(envelope.message) {
                return Some((from, Envelope { message, ..envelope }));
            }
        }
    }
}

/// Sends load reports to all planners of the operator's file and accepts their grants, until the process ends.
pub async fn run_forwarder(mut socket: ClusterSocket, fleet: Rc<WorkerFleet>, tier: TierConfig) {
    let mut next_report_at = socket.clock.now();
    let mut last_report_at = next_report_at;
    loop {
        let received = socket.receive(next_report_at).await;
        let now = socket.clock.now();
        // Protects the workers from grants of unknown senders: only the configured planners may grant slots.
        let is_planner = |from: &SocketAddr| tier.planners.iter().any(|planner| planner.address == *from);
        if let Some((
            _,
            Envelope { message: Message::Grants { epoch, number, report, duration, grants }, .. },
        )) = received.as_ref().filter(|(from, _)| is_planner(from))
        {
            let header = GrantHeader { epoch: *epoch, number: *number, duration: *duration };
            let accepted = fleet.grants.borrow_mut().accept(now, header, *report, grants);
            if accepted.is_ok() {
                fleet.refresh();
            }
        }
        if now < next_report_at {
            continue;
        }
        next_report_at = now + GRANT_RENEWAL_INTERVAL;
        fleet.forwarder_count.set(socket.membership.present_with_role(Role::Forwarder).count() + 1);
        let elapsed_seconds = (now - std::mem::replace(&mut last_report_at, now)) as f64 / 10_000.0;
        let number = fleet.grants.borrow_mut().start_report(now);
        let epoch = fleet.grants.borrow().epoch();
        let report = LoadReport {
            number,
            demands: fleet.take_demands(elapsed_seconds),
            observations: fleet.take_observations(elapsed_seconds),
            epoch,
        };
        for planner in &tier.planners {
            let envelope = socket.envelope(Message::Report(report.clone()));
            socket.send(vec![OutgoingMessage { to: planner.address, envelope }]);
        }
    }
}
