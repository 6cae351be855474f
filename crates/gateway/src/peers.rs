//! Hands datagrams between the transport and membership, and passes on what follows from them: this gateway's share to its
//! core, changes to the log. Decides nothing.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::future;
use serde::{Deserialize, Serialize};
use violetward_membership::wire::MAX_DEMAND_CLASSES;
use violetward_membership::{Change, Config, Demand, Effect, Link, Membership, Standing, State};
use violetward_net::Alarm;
use violetward_transport::sockets::{self, Datagrams};

use violetward_custody::Incarnation;

use crate::config::{read_membership_keys, PeerTerms};
use crate::custody;
use crate::host::Host;
use crate::outage;
use crate::watch;

/// Over how long what clients ask for is averaged, and how often that is told.
const AVERAGE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_millis(500));
/// Octets read at once: one more than any good datagram tells a longer one.
const READ: usize = violetward_membership::wire::MAX_DATAGRAM_BYTES + 1;

/// The other gateways, as this one knows them.
pub struct Peers {
    membership: RefCell<Membership>,
    /// Where to reach members that are not reached where they say.
    via: std::collections::BTreeMap<String, SocketAddr>,
    streams: RefCell<Option<Async<TcpListener>>>,
    datagrams: Datagrams,
    alarm: Alarm,
}

/// A member, as `/v1/members` tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberRow {
    /// Its name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Where it takes datagrams.
    pub address: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Its incarnation.
    pub incarnation: u32,
    /// Since when, microseconds since the Unix epoch.
    pub since: u64,
    /// `good`, `outbound` or `inbound`: which way is cut.
    pub link: String,
    /// Work that its clients ask for, core milliseconds a second.
    pub demand: f64,
}

/// What `/v1/members` tells.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct View {
    /// This gateway's own name and how it stands with the others.
    pub name: String,
    /// See `name`.
    pub standing: String,
    /// Where it takes datagrams.
    pub address: String,
    /// Its part of the fleet.
    pub share: f64,
    /// Its own work asked for, core milliseconds a second.
    pub demand: f64,
    /// All others that are remembered.
    pub members: Vec<MemberRow>,
    /// Datagrams and octets sent and taken, and datagrams refused: unreadable, oversized, of an unknown key, forged, replayed,
    /// unproved.
    pub sent: (u64, u64),
    /// See `sent`.
    pub taken: (u64, u64),
    /// See `sent`.
    pub refused: [u64; 6],
    /// Pauses of this process that were noticed, suspicions raised, deaths declared, own refutations.
    pub paused: u64,
    /// See `paused`.
    pub suspected: u64,
    /// See `paused`.
    pub declared: u64,
    /// See `paused`.
    pub refuted: u64,
}

fn word(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

fn link_word(link: Link) -> &'static str {
    match link {
        Link::Good => "good",
        Link::Outbound => "outbound",
        Link::Inbound => "inbound",
    }
}

impl Peers {
    /// Starts the tasks of membership; they run as long as the host's executor does.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start(host: &Rc<Host>, terms: &PeerTerms) -> std::io::Result<Rc<Peers>> {
        // Streams of records are taken on the port of datagrams, where something stands on them.
        let (datagrams, streams) = match host.config.custody {
            Some(_) => sockets::bind(terms.listen).map(|(datagrams, streams)| (datagrams, Some(streams)))?,
            None => (Datagrams::bind(terms.listen)?, None),
        };
        let address = match terms.advertise {
            Some(address) => address,
            None => datagrams.address()?,
        };
        let known = Config {
            name: terms.name.clone(),
            site: terms.site.clone(),
            address,
            seeds: terms.seeds.clone(),
            address_overrides: terms.address_overrides.clone(),
            keys: terms.keys.clone(),
            probe_interval: terms.probe_interval.as_micros() as u64,
            max_members: terms.max_members,
            configured_gateways: host.config.settings.gateways,
            max_total_share: terms.max_total_share,
            share_growth_per_s: terms.share_growth_per_s,
            plain_swim: false,
        };
        tracing::info!(name = terms.name, site = terms.site, %address, "membership");
        let membership = RefCell::new(Membership::new(known, rand::random(), host.now()));
        let peers = Rc::new(Peers {
            membership,
            via: terms.address_overrides.clone(),
            streams: RefCell::new(streams),
            datagrams,
            alarm: Alarm::default(),
        });
        host.spawn(peers.clone().read(host.clone()));
        host.spawn(peers.clone().wake(host.clone()));
        host.spawn(peers.clone().demand(host.clone()));
        if let Some(file) = terms.key_file.clone() {
            let (of, to) = (peers.clone(), host.clone());
            let take = move |text: &str| {
                let keys = read_membership_keys(text)?;
                to.custody().iter().for_each(|custody| custody.set_keys(keys.clone()));
                of.membership.borrow_mut().set_keys(keys);
                Ok(())
            };
            host.spawn(watch::watch_key_file(file, host.config.host.list_poll_interval, take));
        }
        Ok(peers)
    }

    /// Nothing is waited for once this one has said good-bye.
    fn next_wake(&self) -> Option<u64> {
        Some(self.membership.borrow().next_wake()).filter(|&at| at < u64::MAX)
    }

    fn with<T>(&self, host: &Rc<Host>, act: impl FnOnce(&mut Membership, u64) -> T) -> T {
        let result = act(&mut self.membership.borrow_mut(), host.now());
        loop {
            let effect = self.membership.borrow_mut().next_effect();
            match effect {
                Some(effect) => self.carry_out(host, effect),
                None => break,
            }
        }
        self.alarm.set(self.next_wake());
        result
    }

    fn carry_out(&self, host: &Rc<Host>, effect: Effect) {
        match effect {
            // A full buffer, or a port that nobody listens on, is a datagram lost: the protocol bears that.
            Effect::Send(to, bytes) => self.datagrams.send(to, &bytes),
            Effect::Share(part) => {
                tracing::debug!(part, "share of the fleet");
                let part = host.outage().map_or(part, |outage| outage.share(part));
                host.with_core(|core, now| core.set_share(now, part));
            }
            Effect::Received(from, bytes) if bytes.first() == Some(&custody::SAID) => {
                host.custody().iter().for_each(|custody| custody.heard(host, &from, &bytes[1..]));
            }
            Effect::Received(from, bytes) if bytes.first() == Some(&outage::SAID) => {
                host.outage().iter().for_each(|outage| outage.heard(host, &from, &bytes[1..]));
            }
            Effect::Received(from, bytes) => {
                let agreed = host.agreed.borrow().clone();
                agreed.iter().for_each(|agreed| agreed.receive(host, &from, &bytes));
            }
            Effect::Changed(change) => {
                let at = host.now();
                match change {
                    Change::Member { name, previous: was, state, incarnation } => {
                        let was = was.map_or("unknown", word);
                        let state = word(state);
                        tracing::info!(member = name, was, state, incarnation, at, "member");
                        host.custody().iter().for_each(|custody| custody.members(host));
                    }
                    Change::Standing(standing) => {
                        tracing::info!(standing = standing.as_str(), at, "standing")
                    }
                    Change::Paused(span) => {
                        tracing::warn!(ms = span / 1000, at, "this process stood still");
                        host.outage().iter().for_each(|outage| outage.paused(host, span));
                    }
                    Change::Link(name, link) => {
                        tracing::info!(member = name, link = link_word(link), at, "link")
                    }
                    Change::NameConflict(address) => {
                        tracing::error!(%address, at, "another process has this one's name");
                    }
                }
            }
        }
    }

    async fn read(self: Rc<Self>, host: Rc<Host>) {
        let mut bytes = vec![0; READ];
        loop {
            let (from, bytes) = self.datagrams.next(&mut bytes).await;
            // What is due comes first: after a pause it is the wake-up that tells of it, not old datagrams.
            if self.membership.borrow().next_wake() <= host.now() {
                self.with(&host, Membership::handle_wake);
            }
            self.with(&host, |m, now| m.handle_datagram(now, from, bytes));
        }
    }

    async fn wake(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.alarm.wait(&host.clock, || self.next_wake()).await;
            self.with(&host, Membership::handle_wake);
            future::yield_now().await;
        }
    }

    async fn demand(self: Rc<Self>, host: Rc<Host>) {
        let mut before = host.read_core(|core| core.offered_work().to_vec());
        let mut rates = vec![0.0; before.len()];
        loop {
            violetward_net::sleep(AVERAGE.1).await;
            let offered = host.read_core(|core| core.offered_work().to_vec());
            let keep = (-AVERAGE.1.as_secs_f64() / AVERAGE.0.as_secs_f64()).exp();
            for ((rate, now), was) in rates.iter_mut().zip(&offered).zip(&before) {
                *rate = *rate * keep + (now - was) / AVERAGE.1.as_secs_f64() * (1.0 - keep);
            }
            before = offered;
            self.membership.borrow_mut().set_demand(Demand::from_work(&rates));
        }
    }

    /// Says something to a member that is not membership's own.
    pub fn say(&self, host: &Rc<Host>, name: &str, bytes: &[u8]) {
        self.with(host, |m, now| m.send_payload(now, name, bytes));
    }

    /// Says something to all that live.
    pub fn say_all(&self, host: &Rc<Host>, bytes: &[u8]) {
        self.say_some(host, bytes, usize::MAX);
    }

    /// Says something to some of those that live, drawn anew each time.
    pub fn say_some(&self, host: &Rc<Host>, bytes: &[u8], most: usize) {
        let lives = |seen: &violetward_membership::MemberView| seen.record.state <= State::Suspect;
        let mut names: Vec<String> =
            self.membership.borrow().members().filter(lives).map(|seen| seen.record.name).collect();
        for place in 0..names.len().min(most) {
            let drawn = rand::random_range(place..names.len());
            names.swap(place, drawn);
            self.say(host, &names[place], bytes);
        }
    }

    /// This one's life and site.
    pub fn me(&self) -> (Incarnation, String) {
        let m = self.membership.borrow();
        (
            Incarnation { name: m.own_record().name.clone(), number: m.own_record().instance_id },
            m.own_record().site.clone(),
        )
    }

    /// Work that clients ask for at all that live, by class: core milliseconds a second.
    pub fn demand_of_all(&self) -> Vec<f64> {
        let m = self.membership.borrow();
        let others: Vec<Demand> = m
            .members()
            .filter(|seen| seen.record.state <= State::Suspect)
            .map(|seen| seen.record.demand)
            .chain([m.own_record().demand])
            .collect();
        (0..MAX_DEMAND_CLASSES).map(|class| others.iter().map(|d| d.work_of_class(class)).sum()).collect()
    }

    /// How this one stands with the others, and its part of the fleet.
    pub fn standing(&self) -> (Standing, f64) {
        let m = self.membership.borrow();
        (m.standing(), m.share())
    }

    /// All other members that are remembered.
    pub fn seen(&self) -> Vec<violetward_membership::MemberView> {
        self.membership.borrow().members().collect()
    }

    /// The names of all other members that are remembered.
    pub fn names(&self) -> Vec<String> {
        self.seen().into_iter().map(|seen| seen.record.name).collect()
    }

    /// Where a member is reached by streams.
    pub fn reached_at(&self, name: &str) -> Option<SocketAddr> {
        let known = self.membership.borrow().members().find(|seen| seen.record.name == name);
        known.map(|seen| self.via.get(name).copied().unwrap_or(seen.record.address))
    }

    /// Whether nobody can say yet that this life of a gateway is over.
    pub fn may_live(&self, life: &Incarnation) -> bool {
        let known = self.membership.borrow().members().find(|seen| seen.record.name == life.name);
        known
            .is_some_and(|seen| seen.record.instance_id == life.number && seen.record.state <= State::Suspect)
    }

    /// Whether this life of a gateway has been over for so long, as far as is known here.
    pub fn gone_for(&self, life: &Incarnation, now: u64, span: u64) -> bool {
        let known = self.membership.borrow().members().find(|seen| seen.record.name == life.name);
        known.is_none_or(|seen| {
            let over = seen.record.instance_id != life.number || seen.record.state > State::Suspect;
            over && now >= seen.since + span
        })
    }

    /// Whether nobody doubts that this life of a gateway goes on.
    pub fn lives(&self, life: &Incarnation) -> bool {
        let known = self.membership.borrow().members().find(|seen| seen.record.name == life.name);
        known.is_some_and(|seen| seen.record.instance_id == life.number && seen.record.state == State::Alive)
    }

    /// Where streams of records are taken: on the port of datagrams, once.
    pub fn streams(&self) -> Option<Async<TcpListener>> {
        self.streams.borrow_mut().take()
    }

    /// Says good-bye: others take this one's share at once.
    pub fn leave(&self, host: &Rc<Host>) {
        self.with(host, Membership::leave);
    }

    /// What is known.
    pub fn view(&self) -> View {
        let m = self.membership.borrow();
        let row = |seen: violetward_membership::MemberView| MemberRow {
            name: seen.record.name,
            site: seen.record.site,
            address: seen.record.address.to_string(),
            state: word(seen.record.state).into(),
            incarnation: seen.record.incarnation,
            since: seen.since,
            link: link_word(seen.link).into(),
            demand: seen.record.demand.total(),
        };
        let counts = m.counts;
        View {
            name: m.own_record().name.clone(),
            standing: Standing::as_str(m.standing()).into(),
            address: m.own_record().address.to_string(),
            share: m.share(),
            demand: m.own_record().demand.total(),
            members: m.members().map(row).collect(),
            sent: counts.sent,
            taken: counts.received,
            refused: counts.rejected,
            paused: counts.pauses,
            suspected: counts.suspicions,
            declared: counts.declared_dead,
            refuted: counts.refutations,
        }
    }
}

/// Asks a gateway for its view.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn ask(address: SocketAddr) -> Result<View, String> {
    crate::fetch::get_json(address, "/v1/members").await
}

impl std::fmt::Display for View {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let living = self.members.iter().filter(|m| m.state == "alive" || m.state == "suspect").count();
        writeln!(
            f,
            "{} is {}; {} of {} others live; its part of the fleet is {:.4}",
            self.name,
            self.standing,
            living,
            self.members.len(),
            self.share
        )?;
        writeln!(
            f,
            "{:<20} {:<12} {:<22} {:<8} {:>11} {:<9} {:>10}",
            "member", "site", "address", "state", "incarnation", "link", "demand"
        )?;
        for m in &self.members {
            writeln!(
                f,
                "{:<20} {:<12} {:<22} {:<8} {:>11} {:<9} {:>10.0}",
                m.name, m.site, m.address, m.state, m.incarnation, m.link, m.demand
            )?;
        }
        let refused: u64 = self.refused.iter().sum();
        write!(
            f,
            "datagrams: {} sent ({} octets), {} taken, {} refused; pauses {}, suspicions {}, deaths declared {}, refutations {}",
            self.sent.0, self.sent.1, self.taken.0, refused, self.paused, self.suspected, self.declared, self.refuted
        )
    }
}
