//! Stories of the scale model at small sizes.
use scale_model::*;

fn plan(nodes: usize, seed: u64) -> Plan {
    Plan { nodes, whole: nodes, seed, secs: 1, purges: 12, changes: 4 }
}

fn rows(p: &Plan) -> Vec<Row> {
    run(p, &mut |_| ()).expect("a small fleet runs")
}

/// All that virtual time decides; processor time and memory are the machine's.
fn counted(rows: &[Row]) -> Vec<Row> {
    let bare = |r: &Row| Row { cpu_us: 0.0, cpu_us_most: 0.0, memory: 0.0, ..r.clone() };
    rows.iter().map(bare).collect()
}

#[test]
fn given_one_seed_when_a_small_fleet_runs_twice_then_messages_bytes_and_times_are_the_same() {
    let (a, b) = (rows(&plan(14, 7)), rows(&plan(14, 7)));
    assert_eq!(counted(&a), counted(&b));
    let other = rows(&plan(14, 8));
    assert_ne!(counted(&a), counted(&other), "another seed is another run");
}

#[test]
fn given_purges_and_changes_when_a_small_fleet_stands_then_each_reaches_all_and_is_in_force() {
    let all = rows(&plan(14, 3));
    assert_eq!(all.len(), 9, "three phases of three roles");
    for r in all.iter().filter(|r| r.phase != "calm") {
        let asked = if r.phase == "purges" { 12 } else { 4 };
        assert_eq!((r.asked, r.missing, r.refused), (asked, 0, 0), "{r:?}");
        assert!(r.last_ms > 0.0 && r.force_ms > r.last_ms, "{r:?}");
    }
    assert!(all.iter().all(|r| r.cpu_us > 0.0 && r.msgs_in > 0.0 && r.bytes_out > 0.0));
}

#[test]
fn given_nodes_that_only_follow_when_counted_then_they_say_and_hear_what_real_ones_do() {
    // Who starts when draws other distances, and pushes gather by them; so the middle of six
    // runs must lie within what six real runs spread over, give or take what the edges of a
    // second cut off (3 in 100: three more askings of a hundred or so).
    let six = |whole: usize| (1..=6).map(move |s| rows(&Plan { whole, ..plan(14, s) })).collect::<Vec<_>>();
    let (real, thin) = (six(14), six(5));
    let figures: [fn(&Row) -> f64; 4] = [|r| r.msgs_in, |r| r.msgs_out, |r| r.bytes_in, |r| r.bytes_out];
    for (i, one) in real[0].iter().enumerate() {
        for f in figures {
            let of = |all: &[Vec<Row>]| spread(&all.iter().map(|rows| f(&rows[i])).collect::<Vec<_>>());
            let ((low, _, high), (_, mid, _)) = (of(&real).expect("six"), of(&thin).expect("six"));
            let near = 0.03 * mid;
            let within = low - near <= mid && mid <= high + near;
            assert!(within, "{} {}: {mid} beyond {low} to {high}", one.phase, one.role);
        }
    }
}

#[test]
fn given_too_large_a_size_when_it_is_asked_for_then_it_is_refused_with_the_largest_that_fits() {
    let p = plan(50_000, 1);
    let no = p.check(2_000_000_000).expect_err("fifty thousand whole nodes need more").to_string();
    let largest = p.largest(2_000_000_000);
    assert!(no.ends_with(&format!("the largest that fits is {largest}")), "{no}");
    assert!(Plan { nodes: largest, whole: largest, ..p.clone() }.check(2_000_000_000).is_ok());
    assert!(Plan { nodes: largest + 1, whole: largest + 1, ..p.clone() }.check(2_000_000_000).is_err());
    let none = Plan { nodes: 0, ..p };
    assert!(none.check(2_000_000_000).is_err());
}

#[test]
fn given_a_run_when_its_lines_are_read_back_then_the_rows_are_the_same() {
    let all = rows(&plan(12, 2));
    let near = |a: f64, b: f64| (a - b).abs() < 0.001;
    for r in &all {
        let back = Row::read(&r.line()).expect("reads its own line");
        assert!(near(back.bytes_in, r.bytes_in) && near(back.cpu_us, r.cpu_us), "{back:?}");
        assert_eq!((back.nodes, &back.role, &back.phase), (r.nodes, &r.role, &r.phase));
    }
    let svg = plot(&all).expect("plots");
    assert!(svg.starts_with("<svg") && svg.contains("processor us/s"), "{svg:.200}");
    assert!(Row::read("{\"stretch\": 1}").is_err());
}
