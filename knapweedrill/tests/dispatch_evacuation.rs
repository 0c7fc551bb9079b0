//! Evacuation of failure domains, on the state machines of entries and sidecars.

mod evacuation_world;

use evacuation_world::{RUN_MS, World};
use knapweedrill::dispatch::entry::{Answer, RefusalReason};
use knapweedrill::dispatch::message::{MinionAvailability, RefusalCause};
use test_case::test_case;

/// The time in which an entry learns the state of its peers.
const GOSSIP_MS: u64 = 1_500;

/// The time in which a message reaches a sidecar.
const ROUND_TRIP_MS: u64 = 5;

/// The time in which a changed status reaches an entry that has nothing to do.
const STATUS_MS: u64 = 600;

/// Submits jobs to all entries, more at a time than one minion takes.
fn run_jobs(world: &mut World) {
    for _ in 0..10 {
        for entry in 0..world.entries.len() {
            world.submit(entry, 2);
            world.advance(10);
        }
    }
    world.advance(4 * RUN_MS);
}

fn completed_count(world: &World) -> usize {
    let answers = world.answers.values();
    answers
        .filter(|answer| **answer == Answer::Completed)
        .count()
}

fn is_refused_as_evacuated(answer: Option<&Answer>) -> bool {
    let Some(Answer::Refused { reason, .. }) = answer else {
        return false;
    };
    *reason == RefusalReason::Evacuated
}

/// Guards against starts in an evacuated failure domain under load, and against jobs that are lost by
/// the evacuation: those that run there go on.
#[test]
fn load_moves_out_of_an_evacuated_domain() {
    let mut world = World::new(2, &["a", "a", "b", "b"]);
    let job = world.submit(0, 12);
    world.advance(10);
    assert!(world.starts()["a"] > 0);
    for entry in 0..2 {
        world.read_record(entry, 4, "a", true);
    }
    world.advance(ROUND_TRIP_MS);
    let before = world.count_starts();
    world.advance(4 * RUN_MS);
    assert_eq!(world.answers.get(&job), Some(&Answer::Completed));
    run_jobs(&mut world);
    let starts = world.starts_since(&before);
    assert_eq!(starts["a"], 0);
    assert!(starts["b"] > 0);
    assert_eq!(world.entries[0].usable_minion_count(), 2);
}

/// Guards against an entry that goes on until the sidecars report that they are evacuated, so that orders
/// are refused in the meantime.
#[test]
fn entry_places_nothing_in_a_domain_from_the_read_of_its_record_on() {
    let mut world = World::new(1, &["a", "a", "a", "b"]);
    world.read_record(0, 4, "a", true);
    assert_eq!(world.entries[0].usable_minion_count(), 1);
    let before = world.count_starts();
    let job = world.submit(0, 4);
    world.advance(2 * RUN_MS);
    assert_eq!(world.refusals, []);
    assert_eq!(world.starts_since(&before)["b"], 4);
    assert_eq!(world.answers.get(&job), Some(&Answer::Completed));
}

/// The store is out while an entry restarts. Guards against an entry that places tasks in an evacuated
/// failure domain because it has not heard of it.
#[test]
fn entry_that_restarts_while_the_store_is_out_learns_from_its_peers() {
    let mut world = World::new(3, &["a", "b"]);
    for entry in 0..3 {
        world.read_snapshot(entry, 9, &["a"]);
    }
    world.advance(ROUND_TRIP_MS);
    let before = world.count_starts();
    world.restart_entry(1);
    world.advance(GOSSIP_MS);
    let evacuations = world.entries[1].evacuations();
    assert_eq!(evacuations.revision(), 9);
    assert_eq!(evacuations.domains().collect::<Vec<_>>(), ["a"]);
    assert!(world.entries[1].is_ready(), "it has the configuration too");
    run_jobs(&mut world);
    assert_eq!(world.starts_since(&before)["a"], 0);
}

/// The store returns older states than the one known. Guards against a zone that returns to service
/// because a stale read does not know of its evacuation.
#[test]
fn stale_reads_change_nothing() {
    let mut world = World::new(2, &["a", "b"]);
    world.read_snapshot(0, 9, &["a"]);
    world.read_snapshot(0, 6, &["b"]);
    world.read_record(0, 6, "a", false);
    world.read_record(0, 7, "b", true);
    world.read_record(0, 8, "a", false);
    // The other entry has an old state, and gossips it.
    world.read_snapshot(1, 5, &["b"]);
    world.advance(GOSSIP_MS);
    for entry in &world.entries {
        let evacuations = entry.evacuations();
        assert_eq!(evacuations.revision(), 9);
        assert_eq!(evacuations.domains().collect::<Vec<_>>(), ["a"]);
    }
    // The next record that is new counts.
    world.read_record(0, 9, "a", false);
    world.advance(GOSSIP_MS);
    for entry in &world.entries {
        assert_eq!(entry.evacuations().domains().count(), 0);
    }
}

/// The log was discarded and the newest records are read again. Guards against a zone that stays
/// evacuated because its removal was discarded.
#[test]
fn snapshot_returns_zones_whose_record_is_gone() {
    let mut world = World::new(1, &["a", "b"]);
    world.read_snapshot(0, 9, &["a"]);
    world.advance(ROUND_TRIP_MS);
    assert_eq!(
        world.sidecar(0).status().availability,
        MinionAvailability::Evacuated
    );
    world.read_snapshot(0, 12, &["b"]);
    world.advance(ROUND_TRIP_MS);
    assert_eq!(
        world.sidecar(0).status().availability,
        MinionAvailability::Ready
    );
    assert_eq!(
        world.sidecar(1).status().availability,
        MinionAvailability::Evacuated
    );
}

/// An entry stands still with orders on their way while another one tells the sidecars. Guards against
/// starts by an entry with old knowledge.
#[test]
fn informed_sidecar_refuses_orders_of_an_entry_that_was_frozen() {
    let mut world = World::new(2, &["a", "b"]);
    world.hold_datagrams_of(1);
    let job = world.submit(1, 8);
    world.read_record(0, 4, "a", true);
    world.advance(ROUND_TRIP_MS);
    let before = world.count_starts();
    world.release_datagrams();
    world.advance(6 * RUN_MS);
    assert_eq!(world.starts_since(&before)["a"], 0);
    assert!(
        world.refusals.contains(&RefusalCause::Evacuated),
        "{:?}",
        world.refusals
    );
    assert_eq!(world.answers.get(&job), Some(&Answer::Completed));
    assert!(world.sidecar(0).evacuation_refusal_count() > 0);
}

/// An entry with old knowledge, which gossip has not reached, places by what sidecars report. Guards
/// against orders that go back and forth.
#[test]
fn entry_with_old_knowledge_places_nothing_at_an_informed_sidecar() {
    let mut world = World::new(2, &["a", "b"]);
    world.read_record(0, 4, "a", true);
    world.advance(ROUND_TRIP_MS);
    assert_eq!(world.entries[1].evacuations().revision(), 0);
    assert_eq!(world.entries[1].usable_minion_count(), 1);
    let before = world.count_starts();
    world.submit(1, 4);
    world.advance(RUN_MS);
    assert_eq!(world.starts_since(&before)["a"], 0);
    assert_eq!(world.refusals, []);
}

/// All entries that knew of an evacuation restart, and the store no longer names it. Guards against a
/// sidecar that stays closed because nobody remembers why.
#[test]
fn zone_returns_to_service_after_all_informed_entries_have_restarted() {
    let mut world = World::new(2, &["a", "b"]);
    for entry in 0..2 {
        world.read_record(entry, 4, "a", true);
    }
    world.advance(ROUND_TRIP_MS);
    for entry in 0..2 {
        world.restart_entry(entry);
        world.configure(entry);
    }
    world.advance(GOSSIP_MS);
    // The store is out: the newest known state, that of the sidecar, remains in effect.
    let availability = |world: &World| world.sidecar(0).status().availability;
    assert_eq!(availability(&world), MinionAvailability::Evacuated);
    // A stale read is older than what the sidecar was told.
    world.read_snapshot(0, 4, &[]);
    world.advance(ROUND_TRIP_MS);
    assert_eq!(availability(&world), MinionAvailability::Evacuated);
    world.read_snapshot(0, 6, &[]);
    world.advance(ROUND_TRIP_MS);
    assert_eq!(availability(&world), MinionAvailability::Ready);
    world.advance(STATUS_MS);
    assert_eq!(world.entries[1].usable_minion_count(), 2);
}

/// An entry learns of the end of an evacuation and of the next one in one read, while another entry has
/// told the sidecar of the end only. Guards against a sidecar that is not told of the second one.
#[test]
fn zone_that_is_evacuated_again_at_once_stays_closed() {
    let mut world = World::new(2, &["a", "b"]);
    for entry in 0..2 {
        world.read_record(entry, 4, "a", true);
    }
    world.advance(ROUND_TRIP_MS);
    world.read_record(1, 5, "a", false);
    world.advance(ROUND_TRIP_MS);
    assert_eq!(
        world.sidecar(0).status().availability,
        MinionAvailability::Ready
    );
    world.read_snapshot(0, 7, &["a"]);
    world.advance(ROUND_TRIP_MS);
    assert_eq!(
        world.sidecar(0).status().availability,
        MinionAvailability::Evacuated
    );
}

/// Guards against an evacuation that replaces an earlier one, or ends with it.
#[test]
fn two_zones_are_evacuated_at_a_time() {
    let mut world = World::new(2, &["a", "b", "c"]);
    for entry in 0..2 {
        world.read_record(entry, 4, "a", true);
        world.read_record(entry, 5, "b", true);
    }
    world.advance(ROUND_TRIP_MS);
    let before = world.count_starts();
    run_jobs(&mut world);
    let starts = world.starts_since(&before);
    assert_eq!((starts["a"], starts["b"]), (0, 0));
    assert!(starts["c"] > 0);
    for entry in 0..2 {
        world.read_record(entry, 6, "a", false);
    }
    world.advance(ROUND_TRIP_MS);
    world.advance(STATUS_MS);
    let before = world.count_starts();
    run_jobs(&mut world);
    let starts = world.starts_since(&before);
    assert!(starts["a"] > 0);
    assert_eq!(starts["b"], 0);
}

/// Guards against an evacuation of a zone without minions that has any effect, and against minions
/// without a failure domain that an odd record evacuates.
#[test_case("unknown"; "unknown zone")]
#[test_case(""; "no zone")]
fn evacuation_without_minions_has_no_effect(domain: &str) {
    let mut world = World::new(2, &["a", "b", ""]);
    for entry in 0..2 {
        world.read_snapshot(entry, 9, &[domain]);
        assert_eq!(world.entries[entry].usable_minion_count(), 3);
    }
    run_jobs(&mut world);
    assert_eq!(world.evacuation_message_count, 0);
    assert_eq!(completed_count(&world), 20);
}

/// All zones are evacuated while jobs wait for a free minion. Guards against callers that wait for their
/// timeout.
#[test]
fn jobs_are_refused_at_once_while_all_zones_are_evacuated() {
    let mut world = World::new(1, &["a", "a", "b"]);
    let running = world.submit(0, 12);
    let waiting = world.submit(0, 2);
    world.read_snapshot(0, 9, &["a", "b"]);
    let submitted = world.submit(0, 1);
    world.advance(20);
    assert!(is_refused_as_evacuated(world.answers.get(&waiting)));
    assert!(is_refused_as_evacuated(world.answers.get(&submitted)));
    assert!(world.entries[0].is_ready(), "its callers get an answer");
    world.advance(2 * RUN_MS);
    assert_eq!(world.answers.get(&running), Some(&Answer::Completed));
    world.read_record(0, 9, "b", false);
    world.advance(STATUS_MS);
    let served = world.submit(0, 1);
    world.advance(2 * RUN_MS);
    assert_eq!(world.answers.get(&served), Some(&Answer::Completed));
}

/// Half of the fleet is evacuated under more load than the rest takes. Guards against jobs that are
/// admitted because of minions that may not start them.
#[test]
fn evacuated_minions_do_not_count_in_admission() {
    let admitted_count = |domains: &[&str]| {
        let mut world = World::new(1, &["a", "a", "b", "b"]);
        world.read_snapshot(0, 9, domains);
        world.advance(ROUND_TRIP_MS);
        for _ in 0..40 {
            world.submit(0, 4);
        }
        let refused = |answer: &&Answer| matches!(answer, Answer::Refused { .. });
        40 - world.answers.values().filter(refused).count()
    };
    let (all, half) = (admitted_count(&[]), admitted_count(&["a"]));
    assert!(half * 10 <= all * 6, "{half} of {all} jobs admitted");
}

/// A minion dies and registers again in an evacuated zone, and a sidecar restarts there. Guards against
/// a minion that takes tasks because its sidecar was told before, or another one was.
#[test]
fn minion_that_registers_in_an_evacuated_zone_takes_no_tasks() {
    let mut world = World::new(2, &["a", "a", "b"]);
    for entry in 0..2 {
        world.read_snapshot(entry, 9, &["a"]);
    }
    world.advance(ROUND_TRIP_MS);
    let before = world.count_starts();
    world.replace_minion(0, "a");
    world.restart_sidecar(1);
    world.advance(3_000);
    for sidecar in 0..2 {
        let availability = world.sidecar(sidecar).status().availability;
        assert_eq!(
            availability,
            MinionAvailability::Evacuated,
            "sidecar {sidecar}"
        );
    }
    run_jobs(&mut world);
    assert_eq!(world.starts_since(&before)["a"], 0);
    assert!(world.starts_since(&before)["b"] > 0);
}

/// A minion registers in another zone than the one before. Guards against a sidecar that judges it by
/// the former zone.
#[test]
fn minion_that_registers_in_another_zone_follows_that_zone() {
    let mut world = World::new(2, &["a", "b"]);
    for entry in 0..2 {
        world.read_snapshot(entry, 9, &["a"]);
    }
    world.advance(ROUND_TRIP_MS);
    world.replace_minion(0, "c");
    world.replace_minion(1, "a");
    world.advance(3_000);
    let availability = |index: usize| world.sidecar(index).status().availability;
    assert_eq!(availability(0), MinionAvailability::Ready);
    assert_eq!(availability(1), MinionAvailability::Evacuated);
}

/// Guards against messages that nobody needs: the operator writes records, but evacuates nothing.
#[test]
fn sidecars_are_told_nothing_without_an_evacuation() {
    let mut world = World::new(2, &["a", "b"]);
    for entry in 0..2 {
        world.read_snapshot(entry, 3, &[]);
    }
    run_jobs(&mut world);
    world.restart_entry(1);
    world.restart_sidecar(0);
    world.replace_minion(1, "b");
    world.advance(3_000);
    run_jobs(&mut world);
    assert_eq!(world.evacuation_message_count, 0);
    assert!(completed_count(&world) > 20);
}

/// Guards against sidecars that are told again and again while a zone stays evacuated.
#[test]
fn sidecar_is_told_once_by_each_entry() {
    let mut world = World::new(2, &["a", "b"]);
    for entry in 0..2 {
        world.read_snapshot(entry, 9, &["a"]);
    }
    world.advance(ROUND_TRIP_MS);
    let count = world.evacuation_message_count;
    assert!((2..=4).contains(&count), "{count} datagrams");
    run_jobs(&mut world);
    assert_eq!(world.evacuation_message_count, count);
}

/// Most of a fleet that is far larger than the subset of an entry is evacuated. Guards against an entry
/// that finds none of the minions in service, or refuses jobs because it knows none.
#[test]
fn entry_finds_the_minions_in_service_beyond_its_subset() {
    let domains: Vec<&str> = ["a", "b", "c"].into_iter().cycle().take(90).collect();
    let mut world = World::new(1, &domains);
    world.read_snapshot(0, 9, &["a", "b"]);
    world.advance(2 * STATUS_MS);
    let usable_count = world.entries[0].usable_minion_count();
    assert!(usable_count >= 12, "{usable_count} minions");
    let before = world.count_starts();
    let job = world.submit(0, 40);
    world.advance(4 * RUN_MS);
    assert_eq!(world.answers.get(&job), Some(&Answer::Completed));
    let starts = world.starts_since(&before);
    assert_eq!((starts["a"], starts["b"], starts["c"]), (0, 0, 40));
}

/// All of such a fleet is evacuated. Guards against jobs that wait because no failure domain is known of
/// the minions without a session, and against sessions with the whole fleet.
#[test]
fn jobs_are_refused_at_once_while_a_large_fleet_is_evacuated() {
    let domains: Vec<&str> = ["a", "b", "c"].into_iter().cycle().take(150).collect();
    let mut world = World::new(1, &domains);
    world.read_snapshot(0, 9, &["a", "b", "c"]);
    world.advance(STATUS_MS);
    let job = world.submit(0, 1);
    assert!(is_refused_as_evacuated(world.answers.get(&job)));
    world.advance(3_000);
    let session_count = world.entries[0].session_count();
    assert!(session_count <= 100, "{session_count} sessions");
    world.read_snapshot(0, 10, &[]);
    world.advance(STATUS_MS);
    let job = world.submit(0, 40);
    world.advance(4 * RUN_MS);
    assert_eq!(world.answers.get(&job), Some(&Answer::Completed));
    // Minions that the entry has told nothing were never closed.
    for sidecar in 0..150 {
        let availability = world.sidecar(sidecar).status().availability;
        assert_eq!(availability, MinionAvailability::Ready, "sidecar {sidecar}");
    }
}
