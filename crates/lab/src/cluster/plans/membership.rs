//! Plans of membership: who lives, what each takes of the fleet.

use super::BuiltIn;

/// See the module.
pub const PLANS: &[BuiltIn] = &[
    (
        "pair-cut",
        "two gateways and one cut between them, both ways, healed",
        r#"
        (gateways 2) (engines 2) (span "14s") (load 0.4)
        (at "4s" (part (0) (1))) (at "9s" (heal))
        (expect (agree "10s") (shares "10s") (standing 0 cut-off) (standing 1 cut-off))"#,
    ),
    (
        "calm",
        "eight gateways and no fault",
        r#"
        (gateways 8) (engines 6) (span "12s") (load 0.6) (expect (agree "6s") (shares "6s"))"#,
    ),
    (
        "half-killed",
        "half are killed at once and back ten seconds later",
        r#"
        (gateways 8) (engines 6) (span "26s") (load 0.6)
        (at "5s" (kill 0 1 2 3)) (at "15s" (start 0 1 2 3)) (expect (agree "10s") (shares "12s"))"#,
    ),
    (
        "rolled",
        "one is ended by SIGTERM, says good-bye and comes back",
        r#"
        (gateways 4) (engines 3) (span "9s") (load 0.4)
        (at "3s" (term 0)) (at "6s" (start 0)) (expect (agree "6s") (shares "7s"))"#,
    ),
    (
        "nine-in-ten",
        "a storm of restarts: nine in ten are killed and start at once",
        r#"
        (gateways 10) (engines 6) (span "20s") (load 0.5)
        (at "5s" (kill 0 1 2 3 4 5 6 7 8)) (at "6s" (start 0 1 2 3 4 5 6 7 8))
        (expect (agree "12s") (shares "14s"))"#,
    ),
    (
        "paused",
        "one stands still for half a second, three and thirty seconds, with requests taken",
        r#"
        (gateways 6) (engines 4) (span "52s") (load 0.5)
        (at "4s" (stop "500ms" 0)) (at "7s" (stop "3s" 1)) (at "13s" (stop "30s" 2))
        (expect (agree "12s") (shares "12s") (pauses 3))"#,
    ),
    (
        "one-way",
        "one pair is cut one way",
        r#"
        (gateways 6) (engines 4) (span "20s") (load 0.5)
        (at "4s" (cut (0) (1))) (at "14s" (heal))
        (expect (agree "8s") (shares "8s") (link 0 1 outbound) (link 1 0 inbound))"#,
    ),
    (
        "unheard",
        "nobody hears one that hears all",
        r#"
        (gateways 6) (engines 4) (span "22s") (load 0.5)
        (at "4s" (cut (0) (1 2 3 4 5))) (at "14s" (heal))
        (expect (agree "12s") (shares "12s") (standing 0 unheard))"#,
    ),
    (
        "third",
        "a third does not hear the rest",
        r#"
        (gateways 6) (engines 4) (span "24s") (load 0.5)
        (at "4s" (cut (2 3 4 5) (0 1))) (at "14s" (heal)) (expect (agree "14s") (shares "14s"))"#,
    ),
    (
        "flapping",
        "a cut that opens and closes each second",
        r#"
        (gateways 6) (engines 4) (span "20s") (load 0.5)
        (at "4s" (part (0 1) (2 3 4 5))) (at "5s" (heal)) (at "6s" (part (0 1) (2 3 4 5))) (at "7s" (heal))
        (at "8s" (part (0 1) (2 3 4 5))) (at "9s" (heal)) (at "10s" (part (0 1) (2 3 4 5))) (at "11s" (heal))
        (expect (agree "10s") (shares "10s"))"#,
    ),
    (
        "loss-20",
        "a minute of 20% loss, copies and spoilt datagrams, and nobody dies",
        r#"
        (gateways 8) (engines 4) (span "70s") (load 0.4)
        (at "4s" (weather (loss 0.2) (delay "20ms") (copies 0.05) (spoilt 0.01))) (at "64s" (weather))
        (expect (agree "8s") (shares "10s"))"#,
    ),
    (
        "loss-40",
        "a minute of 40% loss, and nobody dies",
        r#"
        (gateways 8) (engines 4) (span "70s") (load 0.4)
        (at "4s" (weather (loss 0.4) (delay "20ms") (copies 0.05))) (at "64s" (weather))
        (expect (agree "10s") (shares "12s") (false-deaths 1))"#,
    ),
    (
        "halves",
        "a partition into two halves that both serve, healed",
        r#"
        (gateways 8) (engines 6) (span "30s") (load 0.5)
        (at "4s" (part (0 1 2 3) (4 5 6 7))) (at "18s" (heal)) (expect (agree "14s") (shares "14s"))"#,
    ),
    (
        "thirds",
        "three parts that heal in turn",
        r#"
        (gateways 9) (engines 6) (span "36s") (load 0.5)
        (at "4s" (part (0 1 2) (3 4 5) (6 7 8))) (at "14s" (part (0 1 2 3 4 5) (6 7 8))) (at "22s" (heal))
        (expect (agree "14s") (shares "14s"))"#,
    ),
    (
        "forged",
        "forged, replayed, cut and oversized datagrams, and a flood of invented names",
        r#"
        (gateways 4) (engines 3) (span "14s") (load 0.4)
        (at "4s" (flood 2000)) (expect (agree "6s") (shares "6s") (refused 4000))"#,
    ),
    (
        "rekey",
        "the key changes in service, and one hears of it late",
        r#"
        (gateways 5) (engines 3) (span "16s") (load 0.4) (at "4s" (rekey)) (expect (agree "8s") (shares "8s"))"#,
    ),
    (
        "twin",
        "two processes of one name",
        r#"
        (gateways 4) (engines 3) (span "16s") (load 0.4)
        (at "4s" (twin 0)) (expect (agree "8s") (shares "8s"))"#,
    ),
];
