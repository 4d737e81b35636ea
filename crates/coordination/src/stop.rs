//! Whether an engine stopped a run, as far as its replies to orders show, and whether a response that has ended is whole.
//!
//! Answers the load of engines that leave in waves while replies to orders are lost and responses end with their connections. An order
//! whose reply is lost may be carried out, also seconds later, and then stops the run that goes on at the engine by then. Only a handle of
//! the run's KV cache shows what became of the run: "no such run" is true of one that ended, and of one that was stopped and is kept no
//! longer.

/// Reply to an order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The run is stopped, and the reply names the handle of its KV cache.
    Stopped,
    /// The engine has no such run.
    NoRun,
    /// An earlier order is being carried out.
    UnderWay,
    /// The engine did nothing.
    Refused,
    /// None, or one that does not say what was done.
    Missing,
    /// The order was not sent.
    Unsent,
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Run {
    /// No order stopped it: it goes on, or it ended by itself.
    #[default]
    Unstopped,
    /// It may be stopped, now or later.
    Unknown,
    /// It is stopped.
    Stopped,
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// At the end that its length or chunks give.
    Framed,
    /// With its connection.
    Closed,
}

/// Whether a response that has ended is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completeness {
    /// It is whole.
    Whole,
    /// It is, unless its engine crashed: the connections of a process are closed in the same way when it ends.
    UnlessCrashed,
    /// The rest may be missing.
    Unknown,
}

/// Orders to stop one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Orders {
    /// What the replies show.
    run: Run,
    /// Orders whose reply is awaited.
    open: u32,
    /// Whether an order got no reply, so that the engine may still carry it out.
    is_late: bool,
}

impl Orders {
    /// What is known of the run.
    pub fn known(&self) -> Run {
        match self.run {
            Run::Unstopped if self.open > 0 => Run::Unknown,
            run => run,
        }
    }

    /// Records that an order is sent. If nobody waits for its reply any more, it stays open.
    pub fn send(&mut self) {
        self.open += 1;
    }

    /// Records the reply to an order, or that none will come. Returns whether another order, or the reply to one that is open, can tell more.
    pub fn record(&mut self, reply: Reply) -> bool {
        self.open = self.open.saturating_sub(1);
        self.run = self.run.after(reply);
        self.is_late |= reply == Reply::Missing;
        self.known().asks_again(reply)
    }

    /// Orders after the run went on at the same engine.
    pub fn resumed(self) -> Self {
        let is_late = self.is_late || self.open > 0;
        Self { run: if is_late { Run::Unknown } else { Run::Unstopped }, open: 0, is_late }
    }
}

impl Run {
    /// What is known after a reply.
    fn after(self, reply: Reply) -> Self {
        match (self, reply) {
            (_, Reply::Stopped) | (Self::Stopped, _) => Self::Stopped,
            (_, Reply::Missing | Reply::UnderWay) => Self::Unknown,
            (known, Reply::NoRun | Reply::Refused | Reply::Unsent) => known,
        }
    }

    /// Whether another order can still tell more after a reply that led to this state.
    fn asks_again(self, reply: Reply) -> bool {
        match reply {
            Reply::Stopped | Reply::NoRun => false,
            Reply::Missing | Reply::UnderWay => true,
            Reply::Refused | Reply::Unsent => self == Self::Unknown,
        }
    }

    /// Whether a response that has ended is whole.
    pub fn completeness(self, end: End) -> Completeness {
        match (self, end) {
            (_, End::Framed) => Completeness::Whole,
            (Self::Unstopped, End::Closed) => Completeness::UnlessCrashed,
            (Self::Unknown | Self::Stopped, End::Closed) => Completeness::Unknown,
        }
    }
}
