//! Free capacity of an engine.

/// Limits of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Batch size.
    pub slots: u32,
    /// KV memory in tokens.
    pub memory: u32,
}

/// Capacity in use on an engine, by all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of running requests.
    pub running: u32,
    /// KV memory reserved by requests and replicas, in tokens.
    pub memory: u32,
    /// Number of prompt tokens that are not prefilled yet.
    pub unread: u32,
}

/// Capacity that a request or a replica needs on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// KV memory at the end of the generation, in tokens.
    pub memory: u32,
    /// Number of prompt tokens; 0 for a replica.
    pub prompt: u32,
    /// Number of further requests of this size for which it leaves room.
    pub headroom: u32,
    /// Number of unread prompt tokens of other requests beside which it starts.
    pub max_unread: u32,
    /// Whether it may use only half of the engine, because the usage is not known.
    pub cautious: bool,
}

impl Limits {
    /// Returns how many requests with this need can start on an engine now. An idle engine accepts any
    /// request, which would wait until its deadline otherwise.
    pub fn places(&self, usage: &Usage, need: &Need) -> u32 {
        let room = self.room(usage, need);
        if need.prompt == 0 {
            return room.saturating_sub(need.headroom);
        }
        let headroom = need.headroom.min(self.room(&Usage::default(), need).saturating_sub(1));
        let least = u32::from(*usage == Usage::default());
        let room = room.saturating_sub(headroom).max(least);
        match need.max_unread.checked_sub(usage.unread) {
            Some(unread) => room.min(1 + unread / need.prompt),
            None => 0,
        }
    }

    /// Returns how many requests of this size fit on an engine.
    fn room(&self, usage: &Usage, need: &Need) -> u32 {
        let divisor = if need.cautious { 2 } else { 1 };
        let memory = (self.memory / divisor).saturating_sub(usage.memory) / need.memory.max(1);
        memory.min((self.slots / divisor).saturating_sub(usage.running))
    }
}
