//! Plans of sites that are lost, cut off and come back.

use super::BuiltIn;

/// See the module.
pub const PLANS: &[BuiltIn] = &[
    (
        "site-lost",
        "a site's gateways and engines are killed at 60% of what the others have, and back cold after 10 seconds",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.36)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s"))"#,
    ),
    (
        "site-lost-full",
        "the same at 95% of what the others have",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.57)
        (at "10s" (kill 1 4)) (at "10s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (expect (agree "12s"))"#,
    ),
    (
        "site-flaps",
        "a site that comes and goes every four seconds",
        r#"
        (gateways 6) (engines 6) (sites 3) (span "36s") (load 0.45)
        (at "8s" (kill 1 4)) (at "8s" (kill-engines 1 4)) (at "12s" (start-engines 1 4)) (at "12s" (start 1 4))
        (at "16s" (kill 1 4)) (at "16s" (kill-engines 1 4)) (at "20s" (start-engines 1 4)) (at "20s" (start 1 4))
        (at "24s" (kill 1 4)) (at "24s" (kill-engines 1 4)) (at "28s" (start-engines 1 4)) (at "28s" (start 1 4))
        (expect (agree "14s"))"#,
    ),
];
