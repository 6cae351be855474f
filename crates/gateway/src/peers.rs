//! Runs membership among gateways: moves datagrams between the transport and the protocol and applies the
//! protocol's effects. The share of the fleet goes to the core, changes go to the log. All decisions are made
//! in `violetward-membership`.

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

/// Time constant of the moving average of the work that clients ask for.
const DEMAND_AVERAGE_SPAN: Duration = Duration::from_secs(5);
/// Interval at which the averaged demand is updated and announced to the other members.
const DEMAND_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Size of the read buffer: one byte more than the longest valid datagram, so that an oversized one is
/// recognized.
const READ_BUFFER_BYTES: usize = violetward_membership::wire::MAX_DATAGRAM_BYTES + 1;

/// Membership of this gateway: what it knows of the other gateways, and its link to them.
pub struct Peers {
    membership: RefCell<Membership>,
    /// Addresses to use for members that cannot be reached at the address that they announce.
    address_overrides: std::collections::BTreeMap<String, SocketAddr>,
    stream_listener: RefCell<Option<Async<TcpListener>>>,
    datagrams: Datagrams,
    alarm: Alarm,
}

/// A member in the answer of `/v1/members`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Site of the member.
    pub site: String,
    /// Address at which the member receives datagrams.
    pub address: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Incarnation number, which the member raises to refute a suspicion.
    pub incarnation: u32,
    /// Time of the last change of state, in microseconds since the Unix epoch.
    pub since: u64,
    /// `good`, or the direction in which the link is cut: `outbound` or `inbound`.
    pub link: String,
    /// Work that the member's clients ask for, in core milliseconds per second.
    pub demand: f64,
}

/// The answer of `/v1/members`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MembershipStatus {
    /// Name of this gateway.
    pub name: String,
    /// Reachability of this gateway among the others; see [`Standing`].
    pub standing: String,
    /// Address at which this gateway receives datagrams.
    pub address: String,
    /// Share of the fleet's capacity that this gateway may use.
    pub share: f64,
    /// Work that this gateway's own clients ask for, in core milliseconds per second.
    pub demand: f64,
    /// All other known members, including dead ones and those that left.
    pub members: Vec<MemberStatus>,
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
    /// Datagrams and bytes accepted.
    pub taken: (u64, u64),
    /// Refused datagrams by reason: malformed, oversized, unknown key, forged, replayed, sender not proved
    /// alive.
    pub refused: [u64; 6],
    /// Pauses of this process that were detected.
    pub paused: u64,
    /// Suspicions that this gateway raised.
    pub suspected: u64,
    /// Members that this gateway declared dead.
    pub declared: u64,
    /// Suspicions of itself that this gateway refuted.
    pub refuted: u64,
}

fn state_word(state: State) -> &'static str {
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
    /// If the listening socket cannot be bound.
    pub fn start(host: &Rc<Host>, terms: &PeerTerms) -> std::io::Result<Rc<Peers>> {
        // With custody, streams of records are accepted on the same port as the datagrams.
        let (datagrams, stream_listener) = match host.config.custody {
            Some(_) => {
                sockets::bind(terms.listen).map(|(datagrams, listener)| (datagrams, Some(listener)))?
            }
            None => (Datagrams::bind(terms.listen)?, None),
        };
        let address = match terms.advertise {
            Some(address) => address,
            None => datagrams.address()?,
        };
        let membership_config = Config {
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
        let membership = RefCell::new(Membership::new(membership_config, rand::random(), host.now()));
        let peers = Rc::new(Peers {
            membership,
            address_overrides: terms.address_overrides.clone(),
            stream_listener: RefCell::new(stream_listener),
            datagrams,
            alarm: Alarm::default(),
        });
        host.spawn(peers.clone().receive_datagrams(host.clone()));
        host.spawn(peers.clone().run_timers(host.clone()));
        host.spawn(peers.clone().announce_demand(host.clone()));
        if let Some(file) = terms.key_file.clone() {
            let (watching_peers, watching_host) = (peers.clone(), host.clone());
            let apply_keys = move |text: &str| {
                let keys = read_membership_keys(text)?;
                watching_host.custody().iter().for_each(|custody| custody.set_keys(keys.clone()));
                watching_peers.membership.borrow_mut().set_keys(keys);
                Ok(())
            };
            host.spawn(watch::watch_key_file(file, host.config.host.list_poll_interval, apply_keys));
        }
        Ok(peers)
    }

    /// Time of the next timer; `None` once this gateway has left, since no timer is pending then.
    fn next_wake(&self) -> Option<u64> {
        Some(self.membership.borrow().next_wake()).filter(|&at| at < u64::MAX)
    }

    /// Runs `operation` on the protocol and applies the effects that it produces.
    fn update<T>(&self, host: &Rc<Host>, operation: impl FnOnce(&mut Membership, u64) -> T) -> T {
        let result = operation(&mut self.membership.borrow_mut(), host.now());
        loop {
            let effect = self.membership.borrow_mut().next_effect();
            match effect {
                Some(effect) => self.apply_effect(host, effect),
                None => break,
            }
        }
        self.alarm.set(self.next_wake());
        result
    }

    fn apply_effect(&self, host: &Rc<Host>, effect: Effect) {
        match effect {
            // A full send buffer or a closed port loses the datagram, which the protocol tolerates.
            Effect::Send(to, bytes) => self.datagrams.send(to, &bytes),
            Effect::Share(share) => {
                tracing::debug!(share, "share of the fleet changed");
                let share = host.outage().map_or(share, |outage| outage.effective_share(share));
                host.with_core(|core, now| core.set_share(now, share));
            }
            Effect::Received(from, bytes) if bytes.first() == Some(&custody::MESSAGE_TAG) => {
                host.custody().iter().for_each(|custody| custody.receive_message(host, &from, &bytes[1..]));
            }
            Effect::Received(from, bytes) if bytes.first() == Some(&outage::MESSAGE_TAG) => {
                host.outage().iter().for_each(|outage| outage.receive_message(host, &from, &bytes[1..]));
            }
            Effect::Received(from, bytes) => {
                let agreement = host.agreed.borrow().clone();
                agreement.iter().for_each(|agreement| agreement.receive(host, &from, &bytes));
            }
            Effect::Changed(change) => {
                let at = host.now();
                match change {
                    Change::Member { name, previous: was, state, incarnation } => {
                        let was = was.map_or("unknown", state_word);
                        let state = state_word(state);
                        tracing::info!(member = name, was, state, incarnation, at, "member");
                        host.custody().iter().for_each(|custody| custody.update_members(host));
                    }
                    Change::Standing(standing) => {
                        tracing::info!(standing = standing.as_str(), at, "standing")
                    }
                    Change::Paused(span) => {
                        tracing::warn!(ms = span / 1000, at, "this process stood still");
                        host.outage().iter().for_each(|outage| outage.record_pause(host, span));
                    }
                    Change::Link(name, link) => {
                        tracing::info!(member = name, link = link_word(link), at, "link")
                    }
                    Change::NameConflict(address) => {
                        tracing::error!(%address, at, "another process uses this gateway's name");
                    }
                }
            }
        }
    }

    async fn receive_datagrams(self: Rc<Self>, host: Rc<Host>) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let (from, bytes) = self.datagrams.next(&mut buffer).await;
            // Due timers run first: the protocol detects a pause of this process by a late timer, and must do
            // so before it handles datagrams that arrived during the pause.
            if self.membership.borrow().next_wake() <= host.now() {
                self.update(&host, Membership::handle_wake);
            }
            self.update(&host, |membership, now| membership.handle_datagram(now, from, bytes));
        }
    }

    async fn run_timers(self: Rc<Self>, host: Rc<Host>) {
        loop {
            self.alarm.wait(&host.clock, || self.next_wake()).await;
            self.update(&host, Membership::handle_wake);
            future::yield_now().await;
        }
    }

    /// Announces the moving average of the work that this gateway's clients ask for.
    async fn announce_demand(self: Rc<Self>, host: Rc<Host>) {
        let mut previous = host.read_core(|core| core.offered_work().to_vec());
        let mut rates = vec![0.0; previous.len()];
        loop {
            violetward_net::sleep(DEMAND_UPDATE_INTERVAL).await;
            let offered = host.read_core(|core| core.offered_work().to_vec());
            let interval_s = DEMAND_UPDATE_INTERVAL.as_secs_f64();
            let decay = (-interval_s / DEMAND_AVERAGE_SPAN.as_secs_f64()).exp();
            for ((rate, now), was) in rates.iter_mut().zip(&offered).zip(&previous) {
                *rate = *rate * decay + (now - was) / interval_s * (1.0 - decay);
            }
            previous = offered;
            self.membership.borrow_mut().set_demand(Demand::from_work(&rates));
        }
    }

    /// Sends a message of another protocol to a member.
    pub fn send_message(&self, host: &Rc<Host>, name: &str, bytes: &[u8]) {
        self.update(host, |membership, now| membership.send_payload(now, name, bytes));
    }

    /// Sends a message of another protocol to all members that are not dead or gone.
    pub fn broadcast(&self, host: &Rc<Host>, bytes: &[u8]) {
        self.send_to_sample(host, bytes, usize::MAX);
    }

    /// Sends a message of another protocol to at most `max_members` random members that are not dead or gone.
    pub fn send_to_sample(&self, host: &Rc<Host>, bytes: &[u8], max_members: usize) {
        let is_live = |seen: &violetward_membership::MemberView| seen.record.state <= State::Suspect;
        let mut names: Vec<String> =
            self.membership.borrow().members().filter(is_live).map(|seen| seen.record.name).collect();
        for index in 0..names.len().min(max_members) {
            let chosen = rand::random_range(index..names.len());
            names.swap(index, chosen);
            self.send_message(host, &names[index], bytes);
        }
    }

    /// Name, incarnation and site of this gateway.
    pub fn local_member(&self) -> (Incarnation, String) {
        let membership = self.membership.borrow();
        (
            Incarnation {
                name: membership.own_record().name.clone(),
                number: membership.own_record().instance_id,
            },
            membership.own_record().site.clone(),
        )
    }

    /// Work that clients ask for at all live gateways, by class, in core milliseconds per second.
    pub fn total_demand(&self) -> Vec<f64> {
        let membership = self.membership.borrow();
        let demands: Vec<Demand> = membership
            .members()
            .filter(|seen| seen.record.state <= State::Suspect)
            .map(|seen| seen.record.demand)
            .chain([membership.own_record().demand])
            .collect();
        (0..MAX_DEMAND_CLASSES)
            .map(|class| demands.iter().map(|demand| demand.work_of_class(class)).sum())
            .collect()
    }

    /// Reachability of this gateway among the others, and its share of the fleet.
    pub fn standing_and_share(&self) -> (Standing, f64) {
        let membership = self.membership.borrow();
        (membership.standing(), membership.share())
    }

    /// All other known members.
    pub fn members(&self) -> Vec<violetward_membership::MemberView> {
        self.membership.borrow().members().collect()
    }

    /// Names of all other known members.
    pub fn member_names(&self) -> Vec<String> {
        self.members().into_iter().map(|seen| seen.record.name).collect()
    }

    /// Address at which a member accepts streams.
    pub fn stream_address(&self, name: &str) -> Option<SocketAddr> {
        let known = self.membership.borrow().members().find(|seen| seen.record.name == name);
        known.map(|seen| self.address_overrides.get(name).copied().unwrap_or(seen.record.address))
    }

    /// Whether this process of a gateway is a known member that is alive or suspect.
    pub fn may_be_alive(&self, incarnation: &Incarnation) -> bool {
        let known = self.membership.borrow().members().find(|seen| seen.record.name == incarnation.name);
        known.is_some_and(|seen| {
            seen.record.instance_id == incarnation.number && seen.record.state <= State::Suspect
        })
    }

    /// Whether this process of a gateway is known to have ended at least `span` microseconds ago, or is not
    /// known at all.
    pub fn ended_for(&self, incarnation: &Incarnation, now: u64, span: u64) -> bool {
        let known = self.membership.borrow().members().find(|seen| seen.record.name == incarnation.name);
        known.is_none_or(|seen| {
            let ended = seen.record.instance_id != incarnation.number || seen.record.state > State::Suspect;
            ended && now >= seen.since + span
        })
    }

    /// Whether this process of a gateway is a known member that is alive and not suspect.
    pub fn is_alive(&self, incarnation: &Incarnation) -> bool {
        let known = self.membership.borrow().members().find(|seen| seen.record.name == incarnation.name);
        known.is_some_and(|seen| {
            seen.record.instance_id == incarnation.number && seen.record.state == State::Alive
        })
    }

    /// Listener for streams of records, on the port of the datagrams; only the first call gets it.
    pub fn take_stream_listener(&self) -> Option<Async<TcpListener>> {
        self.stream_listener.borrow_mut().take()
    }

    /// Announces that this gateway leaves, so that the others take over its share at once.
    pub fn leave(&self, host: &Rc<Host>) {
        self.update(host, Membership::leave);
    }

    /// The answer of `/v1/members`.
    pub fn status(&self) -> MembershipStatus {
        let membership = self.membership.borrow();
        let row = |seen: violetward_membership::MemberView| MemberStatus {
            name: seen.record.name,
            site: seen.record.site,
            address: seen.record.address.to_string(),
            state: state_word(seen.record.state).into(),
            incarnation: seen.record.incarnation,
            since: seen.since,
            link: link_word(seen.link).into(),
            demand: seen.record.demand.total(),
        };
        let counts = membership.counts;
        MembershipStatus {
            name: membership.own_record().name.clone(),
            standing: Standing::as_str(membership.standing()).into(),
            address: membership.own_record().address.to_string(),
            share: membership.share(),
            demand: membership.own_record().demand.total(),
            members: membership.members().map(row).collect(),
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

/// Fetches the membership status of a gateway.
///
/// # Errors
/// If the gateway does not answer, or answers something else.
pub async fn fetch_status(address: SocketAddr) -> Result<MembershipStatus, String> {
    crate::fetch::get_json(address, "/v1/members").await
}

impl std::fmt::Display for MembershipStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let live = self.members.iter().filter(|m| m.state == "alive" || m.state == "suspect").count();
        writeln!(
            f,
            "{} is {}; {} of {} others live; its part of the fleet is {:.4}",
            self.name,
            self.standing,
            live,
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
            "datagrams: {} sent ({} octets), {} taken, {} refused; pauses {}, suspicions {}, \
             deaths declared {}, refutations {}",
            self.sent.0,
            self.sent.1,
            self.taken.0,
            refused,
            self.paused,
            self.suspected,
            self.declared,
            self.refuted
        )
    }
}
