//! The list of engines, the agreed rules that narrow it, and the load that engines report.

use super::*;

impl Core {
    /// Replaces the list of engines.
    pub fn update_engines(&mut self, now: Micros, records: &BTreeMap<String, EngineRecord>) {
        self.advance_to(now);
        if self.engine_list != *records {
            self.engine_list.clone_from(records);
        }
        let state = |r: &EngineRecord| self.effective_state(r);
        let entry = |r: &EngineRecord| {
            let listed = rules::worse(state(r), self.rules.engine(&r.name));
            violetward::EngineEntry { listed, ..r.entry.clone() }
        };
        let entries = records.values().map(entry).collect();
        for record in records.values() {
            self.records.insert(record.entry.engine, record.clone());
        }
        let listed: BTreeSet<EngineId> = records.values().map(|r| r.entry.engine).collect();
        let removed: Vec<EngineId> = self.records.keys().filter(|id| !listed.contains(id)).copied().collect();
        let mut lost: Vec<Loss> = Vec::new();
        for &engine in &removed {
            lost.extend(self.sessions.engine_listed(self.now, engine, None));
        }
        for record in records.values() {
            let draining = match rules::worse(self.effective_state(record), self.rules.told(&record.name)) {
                violetward::Listed::Up => Some(false),
                violetward::Listed::Draining => Some(true),
                violetward::Listed::Removed => None,
            };
            lost.extend(self.sessions.engine_listed(self.now, record.entry.engine, draining));
        }
        self.sessions_lost(lost);
        self.records.retain(|id, _| listed.contains(id));
        self.events.push_back(Event::Engines { kind: ListKind::Whole, entries });
        self.process_events();
    }

    /// State of an engine, combining this gateway's list with those of other gateways for the same engine
    /// process.
    pub(super) fn effective_state(&self, record: &EngineRecord) -> violetward::Listed {
        let remote = self.remote_states.get(&record.name).filter(|c| c.0 >= record.entry.came_up);
        remote.map_or(record.entry.listed, |c| rules::worse(record.entry.listed, c.1))
    }

    /// All listed engines, the names of those that get no new statements for reasons other than a maintenance
    /// window (`away`), and the classes as narrowed by the rules.
    pub fn fleet(&self, away: &BTreeSet<String>) -> (Vec<EngineRecord>, BTreeSet<String>, Vec<Class>) {
        let up = violetward::Listed::Up;
        let restricted = |name: &String| self.rules.told(name) != up && !away.contains(name);
        let excluded = |r: &&EngineRecord| self.effective_state(r) != up || restricted(&r.name);
        let excluded = self.engine_list.values().filter(excluded).map(|r| r.name.clone()).collect();
        (self.engine_list.values().cloned().collect(), excluded, self.classes.clone())
    }

    /// Names of the engines that the decision module avoids as unhealthy.
    pub fn unhealthy_engines(&self) -> Vec<String> {
        self.decider.quarantined_engines().into_iter().map(|engine| self.engine_name(engine)).collect()
    }

    /// Sets the engine states that other gateways' lists report. They can only restrict the use of an engine.
    pub fn set_remote_states(&mut self, now: Micros, states: BTreeMap<String, (Micros, violetward::Listed)>) {
        self.remote_states = states;
        let list = std::mem::take(&mut self.engine_list);
        self.update_engines(now, &list);
    }

    /// Sets the agreed rules. Running attempts continue; waiting statements and further attempts follow the
    /// new rules.
    pub fn set_rules(&mut self, now: Micros, rules: Rules) {
        self.advance_to(now);
        let (classes, tenants, attempts_cap, budget) = rules.narrow(&self.configured, &self.names);
        self.classes.clone_from(&classes);
        self.rules = rules;
        self.events.push_back(Event::Rules { classes, tenants, attempts_cap, budget });
        let list = std::mem::take(&mut self.engine_list);
        self.update_engines(now, &list);
    }

    /// Whether an attempt that has not been written yet may still be sent to its engine.
    pub fn may_send(&self, id: AttemptId, engine: &str) -> bool {
        let (Some(s), Some(r)) = (self.statements.get(&id.0), self.engine_list.get(engine)) else {
            return true;
        };
        let class = &self.classes[s.class];
        let kind_allowed = class.kinds.as_ref().is_none_or(|k| k.contains(&r.entry.kind));
        let zone_allowed = class.zones.as_ref().is_none_or(|z| z.contains(&r.entry.zone));
        // Statements of a session may finish on the engine that holds it.
        let state = if s.session_use.is_some() { self.rules.told(engine) } else { self.rules.engine(engine) };
        let engine_allowed = state == violetward::Listed::Up
            || s.session_use.is_some() && state != violetward::Listed::Removed;
        kind_allowed && zone_allowed && engine_allowed
    }

    /// Handles a status report of an engine; `None` if it did not answer a probe.
    pub fn engine_status(&mut self, now: Micros, engine: EngineId, load: Option<Load>) {
        self.advance_to(now);
        let ok = load.is_some();
        self.observations.iter_mut().for_each(|s| s.probe_ended(engine, ok));
        self.events.push_back(Event::Probed { engine, ok, load: load.unwrap_or_default() });
        self.process_events();
    }
}
