//! Runs the limiters of a simulation and passes each batch of events to them.

use std::collections::BTreeMap;
use std::io::Write;

use sedgestack::platform::NameIndex;
use sedgestack::{Endpoint, Event, Limiter, Micros};

use crate::wire::{self, EndpointLists, Line, WireError};

/// A running limiter of the simulation.
struct Instance {
    limiter: Limiter,
    names: NameIndex,
}

/// An endpoint list that lacks some of its `ROW` lines.
struct PartialList {
    table: u64,
    missing_rows: u64,
    endpoints: Vec<Endpoint>,
}

/// All limiters of a simulation.
#[derive(Default)]
pub struct Host {
    /// Instances by id; `None` for an instance that was halted.
    instances: BTreeMap<u64, Option<Instance>>,
    lists: EndpointLists,
    partial_list: Option<PartialList>,
    /// The simulator's time at the open batch; `None` outside a batch.
    batch_time: Option<Micros>,
    /// Events of the open batch by instance, in order of arrival.
    pending: BTreeMap<u64, Vec<Event>>,
    /// The reply to the open batch, written when the batch ends.
    reply: String,
}

impl Host {
    /// Returns whether a batch has begun but not ended.
    pub fn is_inside_batch(&self) -> bool {
        self.batch_time.is_some()
    }

    /// Handles a line of input. The line that ends a batch writes the batch's reply to `output`.
    pub fn handle_line(&mut self, text: &str, output: &mut impl Write) -> Result<(), WireError> {
        if text.is_empty() && !self.is_inside_batch() {
            return Ok(());
        }
        let line = Line::parse(text)?;
        if let Some(list) = self.partial_list.take() {
            return self.continue_list(list, &line);
        }
        match (line.name, self.batch_time) {
            ("TICK", None) => self.batch_time = Some(line.time("momentMs")?),
            ("TICK", Some(_)) => return Err(WireError::NestedBatch),
            (name, None) => return Err(WireError::OutsideBatch(name.to_string())),
            ("END", Some(now)) => self.end_batch(now, output)?,
            ("ROSTER", Some(_)) => self.begin_list(&line)?,
            ("ROW", Some(_)) => return Err(WireError::RowOutsideList),
            (_, Some(_)) => self.handle_event(&line)?,
        }
        Ok(())
    }

    /// Handles a `ROSTER` line, which begins an endpoint list.
    fn begin_list(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let (table, missing_rows) = (line.int("table")?, line.int("members")?);
        self.store_list(PartialList { table, missing_rows, endpoints: Vec::new() });
        Ok(())
    }

    /// Handles the line after an incomplete list, which must be the list's next `ROW`.
    fn continue_list(&mut self, mut list: PartialList, line: &Line<'_>) -> Result<(), WireError> {
        if line.name != "ROW" {
            return Err(WireError::MissingRows { missing: list.missing_rows });
        }
        list.endpoints.push(wire::endpoint(line)?);
        list.missing_rows -= 1;
        self.store_list(list);
        Ok(())
    }

    /// Stores a complete list in `lists`, and an incomplete one in `partial_list` until its next `ROW` line.
    fn store_list(&mut self, list: PartialList) {
        if list.missing_rows == 0 {
            self.lists.insert(list.table, list.endpoints.into());
        } else {
            self.partial_list = Some(list);
        }
    }

    /// Handles the line of an event that concerns one instance.
    fn handle_event(&mut self, line: &Line<'_>) -> Result<(), WireError> {
        let id = line.int("gatewayId")?;
        match line.name {
            "PROVISION" => self.provision(id, line),
            "HALT" => self.halt(id),
            _ => self.queue_event(id, line),
        }
    }

    /// Starts an instance; one with the same id is replaced.
    fn provision(&mut self, id: u64, line: &Line<'_>) -> Result<(), WireError> {
        self.pending.remove(&id);
        let (settings, names) = wire::settings(line)?;
        let limiter = Limiter::new(settings, line.int("nonce64")?)?;
        self.instances.insert(id, Some(Instance { limiter, names }));
        Ok(())
    }

    /// Stops an instance and drops its pending events.
    fn halt(&mut self, id: u64) -> Result<(), WireError> {
        // The halted process can't respond to the events that it received earlier in this batch.
        self.pending.remove(&id);
        *self.instances.get_mut(&id).ok_or(WireError::UnknownInstance(id))? = None;
        Ok(())
    }

    /// Queues an event until the end of the batch; events for halted instances are dropped.
    fn queue_event(&mut self, id: u64, line: &Line<'_>) -> Result<(), WireError> {
        let instance = self.instances.get(&id).ok_or(WireError::UnknownInstance(id))?;
        let Some(instance) = instance else { return Ok(()) };
        let event = wire::event(line, &instance.names, &self.lists)?;
        self.pending.entry(id).or_default().push(event);
        Ok(())
    }

    /// Passes the batch's events to the instances, in ascending order of ids, and writes their actions.
    fn end_batch(&mut self, now: Micros, output: &mut impl Write) -> Result<(), WireError> {
        for (id, events) in std::mem::take(&mut self.pending) {
            let Some(Some(instance)) = self.instances.get_mut(&id) else { continue };
            for action in instance.limiter.handle(now, &events) {
                wire::write_action(&mut self.reply, id, &action);
            }
        }
        self.reply.push_str("OK\n");
        output.write_all(self.reply.as_bytes()).and_then(|()| output.flush()).map_err(WireError::Write)?;
        self.reply.clear();
        self.batch_time = None;
        Ok(())
    }
}
