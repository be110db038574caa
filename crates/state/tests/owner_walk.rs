//! A seeded random walk over three nodes with kills, pauses, partitions, lost and late
//! writes, outages of the service and planned stops. At each step the world checks that
//! no target is granted more than its capacity. At the end, without any faults, all
//! targets must be served in full again.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use world::{Loss, World};

mod world;

const SEEDS: u64 = 100;

const NAMES: [&str; 3] = ["a", "b", "c"];

fn inject_fault(world: &mut World, random: &mut SmallRng) {
    let name = NAMES[random.random_range(0..3)];
    let fault = random.random_range(0..14);
    match fault {
        0 => world.is_service_up = !world.is_service_up,
        1 => world.expire_all_leases(),
        2 => drop(world.deliver_late_write()),
        3 => world.drain(name),
        4 => world.start(name),
        _ => {}
    }
    let Some(node) = world.nodes.get_mut(name) else {
        return;
    };
    match fault {
        5 => node.is_alive = false,
        6 | 7 => node.is_paused = !node.is_paused,
        8 => node.has_service = !node.has_service,
        9 => {
            node.group = 1 - node.group;
            node.has_service = node.group == 0;
        }
        10 => node.loss = Some(Loss::Answer),
        11 => node.loss = Some(Loss::Call),
        12 | 13 => node.loss = Some(Loss::Late),
        _ => {}
    }
}

#[test]
fn grants_never_exceed_capacity() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut world = World::new();
        world.targets = (1..=5).map(|n| format!("t{n}").as_str().into()).collect();
        NAMES.iter().for_each(|name| world.start(name));
        world.run(Duration::from_secs(12));
        for _ in 0..14 {
            inject_fault(&mut world, &mut random);
            let steps = [1, 3, 10, 40, 60, 150];
            let steps = steps[random.random_range(0..steps.len())];
            world.run(world::STEP * steps);
        }
        world.is_service_up = true;
        NAMES.iter().for_each(|name| world.start(name));
        world.run(Duration::from_secs(60));
        assert_eq!(world.count_full(), 5, "seed {seed}: not served\n{}", world.show());
    }
}
