//! A seeded walk over three nodes: kills, pauses, cuts, parted nodes, lost and
//! late writes, outages of the service, planned stops. The world checks at
//! each step that no target is granted more than it bears; at the end, with
//! all faults gone, every target must be served in full again.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use world::{Loss, World};

mod world;

const SEEDS: u64 = 100;

const NAMES: [&str; 3] = ["a", "b", "c"];

fn disturb(world: &mut World, random: &mut SmallRng) {
    let name = NAMES[random.random_range(0..3)];
    let what = random.random_range(0..14);
    match what {
        0 => world.up = !world.up,
        1 => world.lapse_all(),
        2 => drop(world.arrive()),
        3 => world.drain(name),
        4 => world.start(name),
        _ => {}
    }
    let Some(node) = world.nodes.get_mut(name) else {
        return;
    };
    match what {
        5 => node.alive = false,
        6 | 7 => node.paused = !node.paused,
        8 => node.service = !node.service,
        9 => {
            node.group = 1 - node.group;
            node.service = node.group == 0;
        }
        10 => node.loss = Some(Loss::Answer),
        11 => node.loss = Some(Loss::Call),
        12 | 13 => node.loss = Some(Loss::Late),
        _ => {}
    }
}

#[test]
fn never_more_than_it_bears() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut world = World::open();
        world.targets = (1..=5).map(|n| format!("t{n}").as_str().into()).collect();
        NAMES.iter().for_each(|name| world.start(name));
        world.run(Duration::from_secs(12));
        for _ in 0..14 {
            disturb(&mut world, &mut random);
            let steps = [1, 3, 10, 40, 60, 150];
            let steps = steps[random.random_range(0..steps.len())];
            world.run(world::STEP * steps);
        }
        world.up = true;
        NAMES.iter().for_each(|name| world.start(name));
        world.run(Duration::from_secs(60));
        assert_eq!(world.served(), 5, "seed {seed}: not served\n{}", world.show());
    }
}
