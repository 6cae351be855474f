//! The configuration file that the platform gives a gateway.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use violetward::Settings;
use violetward_settings::{BootInfo, ConnectionSettings, Names};

use crate::list::Known;

/// The contents of the file.
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

/// Resource limits of the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct Limits {
    /// CPU cores; may be a fraction of one.
    pub cores: f64,
    /// Memory in megabytes, cached files included.
    pub memory_mb: u64,
    /// Number of file descriptors.
    pub sockets: usize,
}

/// The validated configuration.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name; it survives restarts.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The seed for random numbers; new at each start.
    pub seed: u64,
    /// Resource limits.
    pub limits: Limits,
    /// The address of the DNS resolver.
    pub resolver: SocketAddr,
    /// The events for the initial list of engines.
    pub known: Known,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names for the indices in the settings.
    pub names: Names,
    /// The settings for connections.
    pub connections: ConnectionSettings,
}

impl Config {
    /// The parts, other than the resolver's address, in which a reloaded configuration differs. They take
    /// effect only when the process restarts.
    pub fn changes_pending_restart(&self, reloaded: &Config) -> Vec<&'static str> {
        let settings = self.settings != reloaded.settings || self.names != reloaded.names;
        let differs = [
            ("name", self.name != reloaded.name),
            ("limits", self.limits != reloaded.limits),
            ("settings", settings || self.connections != reloaded.connections),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(part, _)| part).collect()
    }
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{field}: {text:?} is not address:port"))
}

/// Parses and validates a configuration.
///
/// # Errors
/// Says in one line what is wrong.
pub fn parse(text: &str) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let listen = parse_address("listen", &file.listen)?;
    let resolver = parse_address("dns", &file.dns)?;
    // A seed that is not hexadecimal is hashed, so that any text serves as one.
    let seed =
        u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| violetward_settings::engine_id(&file.seed).0);
    if file.limits.sockets < SOCKETS_MIN {
        return Err(format!("limits.sockets: {} is less than {SOCKETS_MIN}", file.limits.sockets));
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

/// The lowest number of file descriptors that the gateway can work with.
const SOCKETS_MIN: usize = 48;

/// Loads the configuration from its file.
///
/// # Errors
/// Says in one line which file it is and what is wrong.
pub fn load(path: &Path) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// How file descriptors are divided among connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptors {
    /// Client connections in use.
    pub clients: usize,
    /// Client connections that are being closed.
    pub closing: usize,
    /// ConnectionSettings to engines.
    pub engines: usize,
}

impl Limits {
    /// Divides the file descriptors. A reserve is kept for the listener, the resolver's sockets, the runtime,
    /// the log and files that are read. Of the rest, a third is for engines and a twelfth for client
    /// connections that are being closed. Clients get what is left: regular clients use a third of all
    /// descriptors, and malicious ones add to that.
    pub fn descriptors(&self) -> Descriptors {
        const RESERVED_DESCRIPTORS: usize = 24;
        let rest = self.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let (engines, closing) = (rest / 3, rest / 12);
        Descriptors { clients: rest - engines - closing, closing, engines }
    }

    /// Maximum size of a client's frame. It bounds the memory for incomplete frames on many connections: an
    /// eighth of the memory, divided by the number of client connections, but enough for any statement.
    pub fn frame_max_bytes(&self) -> usize {
        (self.buffer_max_bytes() / self.descriptors().clients.max(1)).clamp(64 << 10, 256 << 10)
    }

    /// Maximum total size of the statements of open requests, and of the answers that clients have not read
    /// yet: an eighth of the memory each.
    pub fn buffer_max_bytes(&self) -> usize {
        self.memory_bytes() / 8
    }

    /// Maximum total size of what is held for clients and engines, statements apart: three eighths of the memory.
    /// With the eighth for statements that is half of it; the rest is for the program, its state and what an
    /// allocator loses between buffers of changing sizes.
    pub fn held_max_bytes(&self) -> usize {
        self.memory_bytes() / 8 * 3
    }

    /// How many ids of ended requests are remembered; one takes some 64 bytes.
    pub fn recent_ids_max(&self) -> usize {
        self.memory_bytes() / (2 << 10)
    }

    fn memory_bytes(&self) -> usize {
        usize::try_from(self.memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20)
    }
}
