//! Plans of agreement on settings, and of lists that lag.

use super::BuiltIn;

/// See the module.
pub const PLANS: &[BuiltIn] = &[
    (
        "settings-cut",
        "settings: two gateways of which one votes, and one cut while versions change",
        r#"
        (gateways 2) (engines 3) (span "16s") (load 0.9) (voters 1)
        (at "1s" (flips "500ms" 7 0)) (at "5s" (part (0) (1))) (at "5050ms" (flips "2500ms" 2 0)) (at "11s" (heal))
        (expect (settings "6s" 9))"#,
    ),
    (
        "settings-calm",
        "settings: three that vote, forty changes, some datagrams lost and copied",
        r#"
        (gateways 3) (engines 3) (span "22s") (load 0.5) (voters 3)
        (at "500ms" (weather (loss 0.05) (delay "5ms") (copies 0.05)))
        (at "1s" (flips "400ms" 40 0 1 2)) (expect (settings "6s" 36))"#,
    ),
    (
        "settings-paused",
        "settings: gateways stand still for longer than their lease, under load, while versions change",
        r#"
        (gateways 5) (engines 6) (span "30s") (load 0.6) (voters 3)
        (at "1s" (flips "700ms" 36 0 1)) (at "4s" (stop "5s" 3)) (at "8s" (stop "3s" 2)) (at "12s" (stop "4s" 4))
        (at "17s" (stop "2500ms" 3)) (at "21s" (stop "3s" 4)) (expect (settings "8s" 30))"#,
    ),
    (
        "settings-halves",
        "settings: a partition; the minority proposes in vain, the majority commits",
        r#"
        (gateways 5) (engines 6) (span "28s") (load 0.5) (voters 5)
        (at "1s" (flips "500ms" 4 0 3)) (at "5s" (part (0 1) (2 3 4)))
        (at "7s" (propose 0 "(class report (admit no)) ; by the minority"))
        (at "8s" (flips "1200ms" 5 2 3 4)) (at "17s" (heal)) (expect (settings "10s" 9) (outcomes unknown committed))"#,
    ),
    (
        "settings-rivals",
        "settings: two operators propose at once, again and again",
        r#"
        (gateways 3) (engines 3) (span "18s") (load 0.5) (voters 3)
        (at "1s" (flips "600ms" 20 0)) (at "1s" (flips "600ms" 20 1)) (at "1s" (flips "600ms" 20 2))
        (expect (settings "8s" 20) (outcomes conflict committed))"#,
    ),
    (
        "settings-killed",
        "settings: proposers are killed while they propose, and come back",
        r#"
        (gateways 5) (engines 3) (span "26s") (load 0.5) (voters 3)
        (at "1s" (flips "350ms" 50 0 1 2)) (at "3010ms" (kill 0)) (at "5s" (start 0)) (at "7003ms" (kill 1)) (at "9s" (start 1))
        (at "11001ms" (kill 2)) (at "13s" (start 2)) (at "15005ms" (kill 0)) (at "17s" (start 0))
        (expect (settings "8s" 20))"#,
    ),
    (
        "settings-all-killed",
        "settings: all are killed at once and come back with their disks",
        r#"
        (gateways 4) (engines 3) (span "24s") (load 0.4) (voters 3)
        (at "1s" (flips "500ms" 8 0 1)) (at "6s" (kill 0 1 2 3)) (at "8s" (start 0 1 2 3))
        (at "14s" (flips "500ms" 8 2 1)) (expect (settings "8s" 12))"#,
    ),
    (
        "settings-disks",
        "settings: one voter's disk is lost and another one's has a bit turned: they do not vote, and say so",
        r#"
        (gateways 5) (engines 3) (span "26s") (load 0.4) (voters 5)
        (at "1s" (flips "500ms" 6 0 1)) (at "5s" (kill 3 4)) (at "6s" (disk 3 lose)) (at "6s" (disk 4 spoil))
        (at "7s" (start 3 4)) (at "12s" (flips "500ms" 8 0 1)) (expect (settings "8s" 12) (voteless 3 4))"#,
    ),
    (
        "settings-old-disk",
        "settings: one voter comes back with an old copy of its disk: the others tell it, and it does not vote",
        r#"
        (gateways 4) (engines 3) (span "24s") (load 0.4) (voters 3)
        (at "1s" (flips "500ms" 2 0)) (at "3s" (kill 2)) (at "3200ms" (disk 2 save)) (at "3400ms" (start 2))
        (at "7s" (flips "500ms" 4 0 1)) (at "10s" (kill 2)) (at "10200ms" (disk 2 old)) (at "10400ms" (start 2))
        (at "15s" (flips "500ms" 6 0 1)) (expect (settings "8s" 10) (voteless 2))"#,
    ),
    (
        "settings-replaced",
        "settings: the disks of two voters are lost in turn, and each gets a new one that may vote later",
        r#"
        (gateways 4) (engines 3) (span "34s") (load 0.4) (voters 3)
        (at "1s" (flips "500ms" 4 0)) (at "4s" (kill 2)) (at "4200ms" (disk 2 lose)) (at "4500ms" (replace 2)) (at "5s" (start 2))
        (at "9s" (flips "500ms" 6 0 1)) (at "13s" (kill 1)) (at "13200ms" (disk 1 lose)) (at "13500ms" (replace 1)) (at "14s" (start 1))
        (at "19s" (flips "500ms" 6 0 2)) (at "23s" (kill 0)) (at "24s" (flips "800ms" 6 1 2)) (expect (settings "8s" 20))"#,
    ),
    (
        "settings-grown",
        "settings: three gateways become five and then two, while versions go through",
        r#"
        (gateways 5) (engines 3) (span "28s") (load 0.4) (voters 3)
        (at "500ms" (term 3 4)) (at "2s" (flips "500ms" 40 0 1)) (at "6s" (start 3 4)) (at "13s" (term 4)) (at "14s" (kill 3))
        (at "16s" (term 2)) (expect (settings "8s" 30))"#,
    ),
    (
        "settings-one-way",
        "settings: the proposer is cut one way and the other",
        r#"
        (gateways 3) (engines 3) (span "26s") (load 0.5) (voters 3)
        (at "1s" (flips "500ms" 6 0)) (at "4500ms" (cut (0) (1 2))) (at "5s" (flips "1500ms" 3 0)) (at "11s" (heal))
        (at "13s" (cut (1 2) (0))) (at "14s" (flips "1500ms" 3 0)) (at "19s" (heal)) (expect (settings "10s" 6))"#,
    ),
    (
        "settings-woken",
        "settings: gateways wake under load on rules that the others have left in full",
        r#"
        (gateways 4) (engines 3) (span "26s") (load 0.9) (voters 3)
        (at "1s" (flips "6s" 4 0)) (at "6500ms" (stop "4s" 3)) (at "12500ms" (stop "4s" 2 3)) (at "18500ms" (stop "4s" 1 3))
        (expect (settings "6s" 4))"#,
    ),
    (
        "settings-long",
        "settings: hundreds of changes with loss, pauses, cuts and kills all the while",
        r#"
        (gateways 5) (engines 6) (span "120s") (load 0.4) (voters 3)
        (at "1s" (flips "150ms" 500 0 1 2)) (at "5s" (weather (loss 0.05) (delay "10ms") (copies 0.05)))
        (at "12s" (stop "3s" 3)) (at "18s" (stop "3s" 1)) (at "25s" (kill 2)) (at "29s" (start 2))
        (at "35s" (part (0 1 3) (2 4))) (at "42s" (heal)) (at "47s" (cut (4) (0 1 2))) (at "53s" (heal))
        (at "57s" (kill 0 1)) (at "58s" (start 0 1)) (at "66s" (weather (loss 0.2) (delay "20ms") (copies 0.05)))
        (at "80s" (weather)) (at "84s" (stop "4s" 0)) (at "92s" (part (0 3) (1 2 4))) (at "99s" (heal)) (at "104s" (stop "2500ms" 2 4))
        (expect (settings "30s" 250))"#,
    ),
    (
        "lagging-lists",
        "drains and a removal that most gateways hear of from others long before their lists tell it",
        r#"
        (gateways 6) (engines 6) (span "22s") (load 0.5) (voters 3)
        (at "1s" (lag "6s" 1 2 3 4 5)) (at "4s" (drain-engines 0)) (at "8s" (drain-engines 2))
        (at "12s" (kill-engines 4)) (expect (agree "8s"))"#,
    ),
    (
        "settings-unfit",
        "settings: a version that a third of the gateways cannot read",
        r#"
        (gateways 3) (engines 3) (span "16s") (load 0.4) (voters 3) (odd 2)
        (at "1s" (flips "500ms" 6 0 1)) (at "5s" (propose 0 "(tenant extra (per-second 5)) ; not known by one"))
        (at "9s" (propose 1 "(class lookup (kinds m4)) ; read by all again")) (expect (settings "6s" 8) (outcomes committed))"#,
    ),
];
