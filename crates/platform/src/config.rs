//! The configuration: what the platform tells a gateway at its start.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use violetward::Settings;
use violetward_settings::{BootInfo, ConnectionSettings, Names};

use crate::list::Known;

/// What the file holds.
#[derive(Debug, Deserialize)]
struct File {
    name: String,
    listen: String,
    #[serde(default)]
    seed: String,
    limits: Limits,
    dns: String,
    known: Known,
    settings: BootInfo,
}

/// Limits of the machine that a gateway has to itself.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct Limits {
    /// Part of a core.
    pub cores: f64,
    /// Memory in megabytes, files included.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

/// The configuration, checked.
#[derive(Debug)]
pub struct Config {
    /// This gateway's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// The machine's limits.
    pub limits: Limits,
    /// The resolver.
    pub resolver: SocketAddr,
    /// The list of engines at the start.
    pub known: Known,
    /// The module's settings.
    pub settings: Settings,
    /// The names behind the settings' numbers.
    pub names: Names,
    /// What the settings say of connections.
    pub connections: ConnectionSettings,
}

impl Config {
    /// The parts in which a configuration that was read later differs, beside the resolver's address: they are not taken
    /// over while this process runs, and hold from its next start on.
    pub fn not_taken_over(&self, read: &Config) -> Vec<&'static str> {
        let settings = self.settings != read.settings || self.names != read.names;
        let differs = [
            ("name", self.name != read.name),
            ("limits", self.limits != read.limits),
            ("settings", settings || self.connections != read.connections),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(part, _)| part).collect()
    }
}

fn address(what: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{what}: {text:?} is not address:port"))
}

/// Reads a configuration from its text.
///
/// # Errors
/// Says where it is wrong, in one line.
pub fn parse(text: &str) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let listen = address("listen", &file.listen)?;
    let resolver = address("dns", &file.dns)?;
    // A seed is random digits; whatever its form, it feeds the generator.
    let seed =
        u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| violetward_settings::engine_id(&file.seed).0);
    if file.limits.sockets < LEAST_SOCKETS {
        return Err(format!("limits.sockets: {} are fewer than {LEAST_SOCKETS}", file.limits.sockets));
    }
    Ok(Config {
        name: file.name,
        listen,
        seed,
        limits: file.limits,
        resolver,
        settings: file.settings.settings().map_err(|e| format!("settings: {e}"))?,
        names: file.settings.names(),
        connections: file.settings.connections(),
        known: file.known,
    })
}

/// Descriptors without which there is no service.
const LEAST_SOCKETS: usize = 48;

/// Reads the configuration from its file.
///
/// # Errors
/// One line that names the file and what is wrong.
pub fn load(path: &Path) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// How the descriptors are shared out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptors {
    /// Connections of clients.
    pub clients: usize,
    /// Connections of clients that are being closed.
    pub closing: usize,
    /// Connections to engines.
    pub engines: usize,
}

impl Limits {
    /// The budget: a reserve for the listener, the resolver's sockets, the runtime, the log and files read; of the rest
    /// a third goes to engines, since clients of the platform hold a third of all and those of bad will come on top. A
    /// twelfth is for client connections that are being closed.
    pub fn descriptors(&self) -> Descriptors {
        const RESERVE: usize = 24;
        let rest = self.sockets.saturating_sub(RESERVE);
        let (engines, closing) = (rest / 3, rest / 12);
        Descriptors { clients: rest - engines - closing, closing, engines }
    }

    /// Bytes of a client's frame: as much as lets all clients hold half a frame in an eighth of the memory, but enough for
    /// any statement. Guards the memory against half requests by the hundred.
    pub fn frame_bytes(&self) -> usize {
        (self.held_bytes() / self.descriptors().clients.max(1)).clamp(64 << 10, 256 << 10)
    }

    /// Bytes that statements of open requests may hold in all, and answers that clients have not taken yet: an eighth of
    /// the memory each.
    pub fn held_bytes(&self) -> usize {
        usize::try_from(self.memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20) / 8
    }
}
