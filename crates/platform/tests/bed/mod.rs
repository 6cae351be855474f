//! Shared by the platform's tests: the settings of the interface's example and a configuration that contains
//! them.
#![allow(dead_code)]

pub mod scripted;

/// Settings in the format of the configuration file, with three classes: `look`, `report`, and `load`, whose
/// requests run in the order of their order keys.
pub const SETTINGS: &str = r#"{
 "Classes": [
  {"AimStretch": 2.0, "AimUs": 600000, "Effect": "repeatable", "Group": "all", "HardLimitUs": 3000000,
   "LateWorth": 0.0, "Name": "look", "Worth": 1.0},
  {"AimStretch": 2.5, "AimUs": 800000, "Effect": "repeatable", "Group": "all", "HardLimitUs": 6000000,
   "LateWorth": 0.4, "Name": "report", "Worth": 6.0},
  {"AimStretch": 3.0, "AimUs": 1600000, "Effect": "by_key", "FifoByKey": true, "Group": "all",
   "HardLimitUs": 9000000, "LateWorth": 0.6, "Name": "load", "WindowUs": 9000000, "Worth": 6.0}],
 "Contract": {"ColdFrom": 0.31, "ColdUs": 5000000, "ExtraFree": 5.0, "ExtraPerRequest": 0.1,
   "FallMultiple": 4.0, "GraceToAnswerUs": 20000, "LookBackUs": 5000000, "StopSendingWithinUs": 250000,
   "TipAfterUs": 1500000, "TurnGapUs": 0},
 "FamilyInfo": {"GrantCap": 0.4, "GrantsCount": true, "LanesCount": true, "Loads": [false, false, true],
   "MemoryByKindMb": [16384.0], "NotePeriodUs": 0, "SizeCores": [8], "TellsCost": true,
   "WaitsForLoads": [false, false, false], "WhenShort": "line_up", "WidthByClass": [1, 4, 2]},
 "Limits": {"AttemptsCap": 3, "ConnIdleUs": 15000000, "ConnectTimeoutUs": 250000, "MayCancel": true,
   "MayDuplicate": false, "OpenCap": 20000, "PeerMessages": false, "Probes": true, "RetryAfter": false,
   "StreamsPerConn": 32},
 "MachineTypes": ["std"], "Me": 0, "NInstances": 1, "QuantumUs": 5000,
 "Prices": {"LateFail": 0.08, "Probe": 0.01, "Waste": 0.08},
 "Report": {"How": "answers", "Names": ["load_share"]}, "Zone": 0, "Zones": ["east"]}"#;

/// The connect timeout as it is written in [`SETTINGS`], for tests that replace it.
pub const CONNECT_TIMEOUT_SETTING: &str = "\"ConnectTimeoutUs\": 250000";

/// Replaces the connect timeout by 20 s, so that no connection attempt times out during a test.
pub const LONG_CONNECT_TIMEOUT: (&str, &str) = (CONNECT_TIMEOUT_SETTING, "\"ConnectTimeoutUs\": 20000000");

/// When an engine started, in milliseconds: those named `e-0`, `e-1` and so on one after the other and others last,
/// so that a list that names a further one does not name an engine that was there before.
pub fn started_ms(id: &str) -> u64 {
    id.strip_prefix("e-").and_then(|number| number.parse().ok()).unwrap_or(1_000_000)
}

/// A configuration that listens on a free loopback port and lists `engines` by id and address.
pub fn config(resolver: &str, engines: &[(&str, String)]) -> String {
    let servers = engines.iter().map(|(id, address)| {
        format!(
            r#"{{"id":"{id}","addr":"{address}","zone":"east","kind":"std","cell":0,
            "state":"ready","weight":1,"started_ms":{}}}"#,
            started_ms(id)
        )
    });
    let servers = servers.collect::<Vec<_>>().join(",");
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
        "limits":{{"cores":0.5,"memory_mb":48,"sockets":256}},"dns":"{resolver}",
        "known":{{"no":1,"items":[{{"no":1,"roster":{{"version":1,"full":true,"servers":[{servers}]}}}}]}},
        "settings":{SETTINGS}}}"#
    )
}
