//! Cells of nodes.

use hickory_path::cell::Cell;
use hickory_path::view::Tag;
use hickory_unit::id;
use std::collections::BTreeSet;

fn nodes(count: usize) -> Vec<id::Node> {
    (0..count).map(|number| format!("node-{number:03}").as_str().into()).collect()
}

fn order(cell: Cell) -> Vec<u64> {
    let mut engines: Vec<u64> = (0..54).collect();
    engines.sort_by_key(|&engine| cell.prefer(Tag(engine)));
    engines
}

#[test]
fn a_small_fleet_is_one_cell() {
    let nodes = nodes(9);
    let cells: BTreeSet<u64> = nodes.iter().map(|node| Cell::of(node, nodes.iter()).0).collect();
    assert_eq!(cells.len(), 1);
}

/// Short prompts of 79 nodes land on a few engines at once, though 54 are free:
/// all nodes prefer the same ones. Cells must begin with different engines.
#[test]
fn cells_begin_with_different_engines() {
    let nodes = nodes(79);
    let cells: BTreeSet<u64> = nodes.iter().map(|node| Cell::of(node, nodes.iter()).0).collect();
    assert_eq!(cells.len(), 9);
    let firsts: BTreeSet<u64> = cells
        .iter()
        .flat_map(|&cell| order(Cell(cell)).into_iter().take(4).collect::<Vec<_>>())
        .collect();
    assert!(firsts.len() >= 20, "{firsts:?}");
}
