//! Commands to the executor: what is sent for a request, what is sent again on a new link, and what a broken link leaves
//! unknown.

use super::incoming::ForwardedRequest;
use super::CoreHost;
use crate::clock::MS;
use crate::counters::add;
use crate::frames;
use crate::lines;
use crate::pool::Outbox;
use cypresscleat_scheduler::RequestSlot;
use std::rc::Rc;

/// No gauges are requested while more than this many bytes wait for the executor to read.
const MAX_EXECUTOR_BACKLOG_BYTES: usize = 65_536;

/// The last command to the executor about a request.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RunState {
    Idle,
    Run,
    /// The request waits for a downstream call; the next command comes from this side.
    AwaitingCall,
    Resume,
}

/// Whether the executor has read the reply to a run's call, as far as the link tells. The executor pairs a reply with
/// whatever call the run waits for.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ReplyDelivery {
    /// No byte of it can have been read.
    NotWritten,
    /// It ends at this offset in the outbox of the present link.
    WrittenUpTo(u64),
    /// It was written whole to a link that broke.
    Unknown,
}

/// The link to the executor.
pub(super) struct Executor {
    pub(super) outbox: Option<Rc<Outbox>>,
    /// Number of commands sent, and of those known to have been read.
    pub(super) sent_commands: u64,
    pub(super) read_commands: u64,
}

impl CoreHost {
    /// Sends the executor the current command for a request. Without a link the command is sent once there is one.
    pub(super) fn send_command(&mut self, slot: RequestSlot) {
        self.executor.sent_commands += 1;
        self.request(slot).command_number = self.executor.sent_commands;
        self.send_current_command(slot);
    }

    fn send_current_command(&mut self, slot: RequestSlot) {
        if let Some(dispatcher) = self.dispatcher.clone() {
            let Some(request) = self.requests[slot].as_ref() else { return };
            match (request.stop_requested, request.run_state) {
                (true, _) => dispatcher.stop(request.request_id),
                (false, RunState::Run) => dispatcher.run(self.forwarded_request(slot)),
                _ => {}
            }
            return;
        }
        let (Some(outbox), Some(request)) = (self.executor.outbox.clone(), self.requests[slot].as_ref())
        else {
            return;
        };
        let request_id = String::from_utf8_lossy(&request.request_id);
        match (request.stop_requested, request.run_state, &request.call_body) {
            (true, ..) => outbox.push(lines::preempt(&request_id).as_bytes()),
            (_, RunState::Run, _) => {
                let (service, body) =
                    (&self.names.classes[request.class], &request.payload[request.body.clone()]);
                outbox.push(lines::sched(&request_id, service, body).as_bytes());
            }
            (_, RunState::Resume, Some(reply)) if request.reply_delivery != ReplyDelivery::Unknown => {
                outbox.push(lines::io_done(&request_id, reply).as_bytes());
                self.request(slot).reply_delivery = ReplyDelivery::WrittenUpTo(outbox.end());
            }
            _ => {}
        }
    }

    /// Builds the request for a worker: the original frame payload, or an equivalent one.
    fn forwarded_request(&self, slot: RequestSlot) -> ForwardedRequest {
        let request = self.requests[slot].as_ref().expect("the slot is in use");
        let payload = if request.is_frame_payload {
            request.payload.to_vec()
        } else {
            let (request_id, arrived_at) =
                (String::from_utf8_lossy(&request.request_id), (request.arrived_at / MS).to_string());
            let (expected_work, memory_kb) = (
                request.expected_work.map(|expected_work| format!("{:.1}", expected_work / MS as f64)),
                format!("{:.1}", request.memory_kb),
            );
            let client_priority = format!("{:.4}", request.client_priority.min(0.9999));
            let tenant = request.tenant.and_then(|at| self.names.tenants.get(at));
            let mut fields = vec![
                ("verb", self.names.classes[request.class].as_str()),
                ("txn", &request_id),
                ("door", &arrived_at),
            ];
            fields.extend([("lb", "0"), ("ram", &memory_kb), ("standing", &client_priority)]);
            fields.extend(tenant.map(|tenant| ("team", tenant.as_str())));
            fields.extend(expected_work.as_ref().map(|expected_work| ("cpu", expected_work.as_str())));
            let mut payload = Vec::new();
            frames::write_fields(&mut payload, &fields);
            payload.extend(&request.payload[request.body.clone()]);
            payload
        };
        ForwardedRequest {
            request_id: request.request_id,
            class: request.class,
            payload,
            deadline: request.deadline,
            subject: request.subject,
        }
    }

    /// The link is lost: what it has written whole may have been read, and a line that was cut can't have been.
    pub(super) fn disconnect(&mut self) {
        let Some(outbox) = self.executor.outbox.take() else { return };
        for request in self.requests.iter_mut().flatten() {
            if let ReplyDelivery::WrittenUpTo(end) = request.reply_delivery {
                let is_whole = end <= outbox.written();
                request.reply_delivery =
                    if is_whole { ReplyDelivery::Unknown } else { ReplyDelivery::NotWritten };
            }
        }
    }

    /// A request whose run waits for a reply or has read it, while nothing that the executor has sent since tells which.
    pub(super) fn find_unknown_delivery(&self) -> Option<RequestSlot> {
        let read_commands = self.executor.read_commands;
        self.requests.iter().position(|request| {
            request.as_ref().is_some_and(|request| {
                request.run_state == RunState::Resume
                    && request.reply_delivery == ReplyDelivery::Unknown
                    && request.command_number > read_commands
            })
        })
    }

    /// Sends again the commands after the last one known to have been read, but for replies that may have been read.
    /// Protects runs and stops from a broken link. A run that is already going is not started twice, as the executor's
    /// notices would have reported its end.
    pub(super) fn resend_commands(&mut self) {
        for slot in 0..self.requests.len() {
            let Some(request) = self.requests[slot].as_mut() else { continue };
            if request.command_number <= self.executor.read_commands {
                continue;
            }
            if request.stop_requested && request.run_state != RunState::Idle {
                request.stop_requested = false; // first the command that preceded the stop
                self.send_current_command(slot);
                self.request(slot).stop_requested = true;
            }
            add(&self.counters.kernel_resent);
            self.send_current_command(slot);
        }
    }

    /// Requests the gauges. They return with the number of the last command sent, which shows what the executor has
    /// read. Returns false where they can't be requested.
    pub(super) fn request_gauges(&mut self) -> bool {
        if let Some(dispatcher) = &self.dispatcher {
            (self.gauges, self.gauges_at) = (dispatcher.gauges(), self.now);
            return false;
        }
        let outbox = self.executor.outbox.as_ref().filter(|outbox| outbox.len() < MAX_EXECUTOR_BACKLOG_BYTES);
        outbox
            .map(|outbox| outbox.push(lines::sysinfo(&self.executor.sent_commands.to_string()).as_bytes()))
            .is_some()
    }
}
