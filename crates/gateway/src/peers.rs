//! Hands datagrams between the transport and membership, and passes on what follows from them: this gateway's share to its
//! core, changes to the log. Decides nothing.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::future;
use serde::{Deserialize, Serialize};
use violetward_membership::wire::CLASSES;
use violetward_membership::{Change, Demand, Effect, Link, Membership, Standing, State, Terms};
use violetward_net::Alarm;
use violetward_transport::sockets::{self, Datagrams};

use violetward_custody::Life;

use crate::config::{read_membership_keys, PeerTerms};
use crate::custody;
use crate::host::Host;
use crate::outage;
use crate::watch;

/// Over how long what clients ask for is averaged, and how often that is told.
const AVERAGE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_millis(500));
/// Octets read at once: one more than any good datagram tells a longer one.
const READ: usize = violetward_membership::wire::DATAGRAM + 1;

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
pub struct MemberStatus {
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
pub struct MembershipStatus {
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
    pub members: Vec<MemberStatus>,
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
        let known = Terms {
            name: terms.name.clone(),
            site: terms.site.clone(),
            address,
            seeds: terms.seeds.clone(),
            via: terms.address_overrides.clone(),
            keys: terms.keys.clone(),
            period: terms.probe_interval.as_micros() as u64,
            most: terms.max_members,
            fleet: host.config.settings.gateways,
            widest: terms.max_total_share,
            widen: terms.share_growth_per_s,
            plain: false,
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
                of.membership.borrow_mut().keys(keys);
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
            let effect = self.membership.borrow_mut().effect();
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
                let part = host.outage().map_or(part, |outage| outage.effective_share(part));
                host.with_core(|core, now| core.set_share(now, part));
            }
            Effect::Heard(from, bytes) if bytes.first() == Some(&custody::MESSAGE_TAG) => {
                host.custody().iter().for_each(|custody| custody.receive_message(host, &from, &bytes[1..]));
            }
            Effect::Heard(from, bytes) if bytes.first() == Some(&outage::MESSAGE_TAG) => {
                host.outage().iter().for_each(|outage| outage.receive_message(host, &from, &bytes[1..]));
            }
            Effect::Heard(from, bytes) => {
                let agreed = host.agreed.borrow().clone();
                agreed.iter().for_each(|agreed| agreed.receive(host, &from, &bytes));
            }
            Effect::Told(change) => {
                let at = host.now();
                match change {
                    Change::Member { name, was, state, incarnation } => {
                        let was = was.map_or("unknown", word);
                        let state = word(state);
                        tracing::info!(member = name, was, state, incarnation, at, "member");
                        host.custody().iter().for_each(|custody| custody.update_members(host));
                    }
                    Change::Standing(standing) => tracing::info!(standing = standing.word(), at, "standing"),
                    Change::Paused(span) => {
                        tracing::warn!(ms = span / 1000, at, "this process stood still");
                        host.outage().iter().for_each(|outage| outage.record_pause(host, span));
                    }
                    Change::Link(name, link) => {
                        tracing::info!(member = name, link = link_word(link), at, "link")
                    }
                    Change::Rival(address) => {
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
                self.with(&host, Membership::wake);
            }
            self.with(&host, |m, now| m.datagram(now, from, bytes));
        }
    }

    async fn wake(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.alarm.wait(&host.clock, || self.next_wake()).await;
            self.with(&host, Membership::wake);
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
            self.membership.borrow_mut().demand(Demand::of(&rates));
        }
    }

    /// Says something to a member that is not membership's own.
    pub fn send_message(&self, host: &Rc<Host>, name: &str, bytes: &[u8]) {
        self.with(host, |m, now| m.say(now, name, bytes));
    }

    /// Says something to all that live.
    pub fn broadcast(&self, host: &Rc<Host>, bytes: &[u8]) {
        self.send_to_sample(host, bytes, usize::MAX);
    }

    /// Says something to some of those that live, drawn anew each time.
    pub fn send_to_sample(&self, host: &Rc<Host>, bytes: &[u8], most: usize) {
        let lives = |seen: &violetward_membership::Seen| seen.record.state <= State::Suspect;
        let mut names: Vec<String> =
            self.membership.borrow().view().filter(lives).map(|seen| seen.record.name).collect();
        for place in 0..names.len().min(most) {
            let drawn = rand::random_range(place..names.len());
            names.swap(place, drawn);
            self.send_message(host, &names[place], bytes);
        }
    }

    /// This one's life and site.
    pub fn local_member(&self) -> (Life, String) {
        let m = self.membership.borrow();
        (Life { name: m.me().name.clone(), life: m.me().life }, m.me().site.clone())
    }

    /// Work that clients ask for at all that live, by class: core milliseconds a second.
    pub fn total_demand(&self) -> Vec<f64> {
        let m = self.membership.borrow();
        let others: Vec<Demand> = m
            .view()
            .filter(|seen| seen.record.state <= State::Suspect)
            .map(|seen| seen.record.demand)
            .chain([m.me().demand])
            .collect();
        (0..CLASSES).map(|class| others.iter().map(|d| d.class(class)).sum()).collect()
    }

    /// How this one stands with the others, and its part of the fleet.
    pub fn standing_and_share(&self) -> (Standing, f64) {
        let m = self.membership.borrow();
        (m.standing(), m.share())
    }

    /// All other members that are remembered.
    pub fn members(&self) -> Vec<violetward_membership::Seen> {
        self.membership.borrow().view().collect()
    }

    /// The names of all other members that are remembered.
    pub fn member_names(&self) -> Vec<String> {
        self.members().into_iter().map(|seen| seen.record.name).collect()
    }

    /// Where a member is reached by streams.
    pub fn stream_address(&self, name: &str) -> Option<SocketAddr> {
        let known = self.membership.borrow().view().find(|seen| seen.record.name == name);
        known.map(|seen| self.via.get(name).copied().unwrap_or(seen.record.address))
    }

    /// Whether nobody can say yet that this life of a gateway is over.
    pub fn may_be_alive(&self, life: &Life) -> bool {
        let known = self.membership.borrow().view().find(|seen| seen.record.name == life.name);
        known.is_some_and(|seen| seen.record.life == life.life && seen.record.state <= State::Suspect)
    }

    /// Whether this life of a gateway has been over for so long, as far as is known here.
    pub fn ended_for(&self, life: &Life, now: u64, span: u64) -> bool {
        let known = self.membership.borrow().view().find(|seen| seen.record.name == life.name);
        known.is_none_or(|seen| {
            let over = seen.record.life != life.life || seen.record.state > State::Suspect;
            over && now >= seen.since + span
        })
    }

    /// Whether nobody doubts that this life of a gateway goes on.
    pub fn is_alive(&self, life: &Life) -> bool {
        let known = self.membership.borrow().view().find(|seen| seen.record.name == life.name);
        known.is_some_and(|seen| seen.record.life == life.life && seen.record.state == State::Alive)
    }

    /// Where streams of records are taken: on the port of datagrams, once.
    pub fn take_stream_listener(&self) -> Option<Async<TcpListener>> {
        self.streams.borrow_mut().take()
    }

    /// Says good-bye: others take this one's share at once.
    pub fn leave(&self, host: &Rc<Host>) {
        self.with(host, Membership::leave);
    }

    /// What is known.
    pub fn status(&self) -> MembershipStatus {
        let m = self.membership.borrow();
        let row = |seen: violetward_membership::Seen| MemberStatus {
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
        MembershipStatus {
            name: m.me().name.clone(),
            standing: Standing::word(m.standing()).into(),
            address: m.me().address.to_string(),
            share: m.share(),
            demand: m.me().demand.total(),
            members: m.view().map(row).collect(),
            sent: counts.sent,
            taken: counts.taken,
            refused: counts.refused,
            paused: counts.paused,
            suspected: counts.suspected,
            declared: counts.declared,
            refuted: counts.refuted,
        }
    }
}

/// Asks a gateway for its view.
///
/// # Errors
/// What it answers instead, or why it does not.
pub async fn fetch_status(address: SocketAddr) -> Result<MembershipStatus, String> {
    crate::fetch::get_json(address, "/v1/members").await
}

impl std::fmt::Display for MembershipStatus {
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
