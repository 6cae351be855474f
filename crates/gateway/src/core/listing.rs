//! The list of engines, the rules that narrow it, and what engines tell of their load.

use super::*;

impl Core {
    /// A new reading of the list: the whole of it.
    pub fn update_engines(&mut self, now: Micros, records: &BTreeMap<String, EngineRecord>) {
        self.advance_to(now);
        if self.engine_list != *records {
            self.engine_list.clone_from(records);
        }
        let claimed = |r: &EngineRecord| self.effective_state(r);
        let entry = |r: &EngineRecord| {
            let listed = rules::worse(claimed(r), self.rules.engine(&r.name));
            violetward::EngineEntry { listed, ..r.entry.clone() }
        };
        let entries = records.values().map(entry).collect();
        for record in records.values() {
            self.records.insert(record.entry.engine, record.clone());
        }
        let listed: BTreeSet<EngineId> = records.values().map(|r| r.entry.engine).collect();
        let gone: Vec<EngineId> = self.records.keys().filter(|id| !listed.contains(id)).copied().collect();
        let mut lost: Vec<Loss> = Vec::new();
        for &engine in &gone {
            lost.extend(self.sessions.engine_listed(self.now, engine, None));
        }
        for record in records.values() {
            let drains = match rules::worse(self.effective_state(record), self.rules.told(&record.name)) {
                violetward::Listed::Up => Some(false),
                violetward::Listed::Draining => Some(true),
                violetward::Listed::Removed => None,
            };
            lost.extend(self.sessions.engine_listed(self.now, record.entry.engine, drains));
        }
        self.sessions_lost(lost);
        self.records.retain(|id, _| listed.contains(id));
        self.events.push_back(Event::Engines { kind: ListKind::Whole, entries });
        self.process_events();
    }

    /// The state of an engine by the own list and by what others' lists say of the same life of it.
    pub(super) fn effective_state(&self, record: &EngineRecord) -> violetward::Listed {
        let claim = self.remote_states.get(&record.name).filter(|c| c.0 >= record.entry.came_up);
        claim.map_or(record.entry.listed, |c| rules::worse(record.entry.listed, c.1))
    }

    /// The engines that are listed, those of them that are not to get anything new but for windows (`away`), and the classes
    /// as the rules leave them.
    pub fn fleet(&self, away: &BTreeSet<String>) -> (Vec<EngineRecord>, BTreeSet<String>, Vec<Class>) {
        let up = violetward::Listed::Up;
        let told = |name: &String| self.rules.told(name) != up && !away.contains(name);
        let out = |r: &&EngineRecord| self.effective_state(r) != up || told(&r.name);
        let out = self.engine_list.values().filter(out).map(|r| r.name.clone()).collect();
        (self.engine_list.values().cloned().collect(), out, self.classes.clone())
    }

    /// The engines that the module leaves alone since they are sick.
    pub fn unhealthy_engines(&self) -> Vec<String> {
        self.gateway.left_alone().into_iter().map(|engine| self.engine_name(engine)).collect()
    }

    /// What other gateways' lists say of engines. It only takes away.
    pub fn set_remote_states(&mut self, now: Micros, claims: BTreeMap<String, (Micros, violetward::Listed)>) {
        self.remote_states = claims;
        let list = std::mem::take(&mut self.engine_list);
        self.update_engines(now, &list);
    }

    /// The rules that hold from now on. What was sent goes on; what waits, and further attempts, go by them.
    pub fn set_rules(&mut self, now: Micros, rules: Rules) {
        self.advance_to(now);
        let (classes, tenants, attempts_cap, budget) = rules.narrow(&self.configured, &self.names);
        self.classes.clone_from(&classes);
        self.rules = rules;
        self.events.push_back(Event::Rules { classes, tenants, attempts_cap, budget });
        let list = std::mem::take(&mut self.engine_list);
        self.update_engines(now, &list);
    }

    /// Whether an attempt that has not been written yet may still go to its engine.
    pub fn may_send(&self, id: AttemptId, engine: &str) -> bool {
        let (Some(s), Some(r)) = (self.statements.get(&id.0), self.engine_list.get(engine)) else {
            return true;
        };
        let class = &self.classes[s.class];
        let kind = class.kinds.as_ref().is_none_or(|k| k.contains(&r.entry.kind));
        let zone = class.zones.as_ref().is_none_or(|z| z.contains(&r.entry.zone));
        // What belongs to a session may end where it lives.
        let state = if s.session_use.is_some() { self.rules.told(engine) } else { self.rules.engine(engine) };
        let up = state == violetward::Listed::Up
            || s.session_use.is_some() && state != violetward::Listed::Removed;
        kind && zone && up
    }

    /// An engine told its load, asked by the host or by a probe; `None`: it did not answer a probe.
    pub fn engine_status(&mut self, now: Micros, engine: EngineId, load: Option<Load>) {
        self.advance_to(now);
        let ok = load.is_some();
        self.observations.iter_mut().for_each(|s| s.probe_ended(engine, ok));
        self.events.push_back(Event::Probed { engine, ok, load: load.unwrap_or_default() });
        self.process_events();
    }
}
