//! Encodes the router's actions as records of a reply to the simulator.

use ivyward_core::interface::{Action, EndpointId, Micros, RequestId};

/// Size of an action record in bytes.
const ACTION_SIZE: usize = 24;

/// A reply under construction: records, and a tail with the texts that the records refer to.
#[derive(Default)]
pub(crate) struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
    instance: Option<u32>,
}

impl Reply {
    /// Adds a record of `parts`, padded with zeros to [`ACTION_SIZE`].
    fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        for part in parts {
            self.records.extend_from_slice(part);
        }
        debug_assert!(self.records.len() - start <= ACTION_SIZE);
        self.records.resize(start + ACTION_SIZE, 0);
        self.count += 1;
    }

    /// Appends `text` to the tail and adds a record that refers to it.
    fn text(&mut self, code: u8, text: &str) {
        let (at, len) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.record(code, &[&at.to_le_bytes(), &len.to_le_bytes()]);
    }

    /// Adds a record that attributes the following actions to this instance, unless the previous actions belong to it
    /// already.
    pub(crate) fn begin_instance(&mut self, instance: u32) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.record(80, &[&instance.to_le_bytes()]);
        }
    }

    /// Adds a record with the message of a panic of the router.
    pub(crate) fn panicked(&mut self, text: &str) {
        self.text(74, text);
    }

    /// Adds a record for an action of the current instance. Durations are in microseconds, limited to `u32::MAX`.
    pub(crate) fn push(&mut self, action: &Action) {
        let id = |request: &RequestId| request.0.to_le_bytes();
        let endpoint_id = |endpoint: &EndpointId| -> [u8; 6] {
            let [_, _, id @ ..] = endpoint.0.to_be_bytes();
            id
        };
        let duration = |micros: &Micros| u32::try_from(*micros).unwrap_or(u32::MAX).to_le_bytes();
        match action {
            // The simulator counts an attempt as in flight as soon as it is sent, so the record has no deadline for the last
            // byte.
            Action::Send {
                request,
                endpoint,
                timeout,
                send_deadline: _,
            } => {
                self.record(
                    65,
                    &[&id(request), &endpoint_id(endpoint), &duration(timeout)],
                );
            }
            Action::Cancel { request, attempt } => {
                self.record(68, &[&id(request), &attempt.to_le_bytes()])
            }
            Action::Reject {
                request,
                retry_after,
            } => self.record(66, &[&id(request), &duration(retry_after)]),
            Action::Fail(request) => self.record(67, &[&id(request)]),
            // The simulator's release leaves what an attempt waits for.
            Action::ReleaseReservation(request) | Action::ReleaseUnused(request) => {
                self.record(79, &[&id(request)])
            }
            Action::Reserve { request, endpoint } => {
                self.record(78, &[&id(request), &endpoint_id(endpoint)])
            }
            Action::SetTimer { at, token } => {
                self.record(69, &[&at.to_le_bytes(), &token.to_le_bytes()])
            }
            Action::HealthCheck(endpoint) => self.record(70, &[&endpoint_id(endpoint)]),
            Action::Subscribe => self.record(75, &[&[1]]),
            Action::Log(line) => self.text(73, line),
        }
    }

    /// Returns the encoded reply: the number of records, the length of the rest in bytes, the records and the tail.
    pub(crate) fn finish(self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.records.len() + self.tail.len());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.extend_from_slice(&((self.records.len() + self.tail.len()) as u32).to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}
