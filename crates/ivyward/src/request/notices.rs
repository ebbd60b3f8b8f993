//! What the driver is told, and the way to it. What its parts tell each other stands here, below all of them.

use crate::engines::{Call, End, Engine, Held, LinkRef};
use ivyward_core::interface::{EndpointId, ListKind, LoadReport, Micros, Request};
use std::sync::Arc;

/// A request that was taken in.
pub(crate) struct Taken {
    pub(crate) arrival: Request,
    /// Without a first token by then, the client gives up.
    pub(crate) first_by: Micros,
    /// Without the end by then, the client gives up; `None` for never.
    pub(crate) end_by: Option<Micros>,
    pub(crate) call: Arc<dyn Call>,
}

pub(crate) struct Ended {
    pub(crate) request: u64,
    pub(crate) attempt: u16,
    pub(crate) end: End,
}

/// What the driver is told.
pub(crate) enum Notice {
    Request(Box<Taken>),
    Gone(u64),
    First(u64, u16),
    Ended(Ended),
    Place {
        request: u64,
        attempt: u16,
        link: LinkRef,
        call: Arc<dyn Call>,
        held: Held,
    },
    Probed {
        server: EndpointId,
        alive: bool,
        report: LoadReport,
    },
    Fleet {
        kind: ListKind,
        engines: Vec<Engine>,
        done: async_channel::Sender<()>,
    },
    /// So many nodes may be sending.
    Nodes(u32),
    Stop {
        by: Micros,
    },
    Flush(async_channel::Sender<()>),
    /// Who asks wants the links to all engines in the list.
    Links(async_channel::Sender<Vec<LinkRef>>),
}

/// The way to the driver. It holds at most a few notices for each open request (its arrival, its end, and each attempt's
/// first token and end) beside what the node's owner tells and awaits, so `most_open` bounds it.
#[derive(Clone)]
pub(crate) struct Inbox(async_channel::Sender<Notice>);

impl Inbox {
    pub(crate) fn new() -> (Inbox, async_channel::Receiver<Notice>) {
        let (inbox, told) = async_channel::unbounded();
        (Inbox(inbox), told)
    }
    pub(crate) fn tell(&self, notice: Notice) {
        // Fails only when the driver is gone, and the node with it.
        let _ = self.0.try_send(notice);
    }
}
