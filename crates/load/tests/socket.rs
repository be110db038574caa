//! Parsing the kernel's byte counts of connections.

use hickory_load::socket::{Connection, parse_connections, subtract_bytes};

/// Output of `ss -tinpH` for three connections. The second has sent no data, so it has no
/// count of sent bytes; the third belongs to another user, so it has no process.
const SS_OUTPUT: &str = "\
ESTAB 0      284    127.0.0.1:40267 127.0.0.1:55506 users:((\"hickory-node\",pid=28755,fd=25))
\t bbr wscale:10,10 rto:212 bytes_sent:383620 bytes_acked:383336 bytes_received:326688 segs_out:1330
ESTAB 0      0      127.0.0.1:56340 127.0.0.1:43121 users:((\"hickory-node\",pid=28760,fd=24))
\t bbr wscale:10,10 rto:208 bytes_acked:1 segs_out:2
ESTAB 0      0      127.0.0.1:1 127.0.0.1:2
";

#[test]
fn bytes_are_summed_by_connection_and_process() {
    let at = |text: &str| text.parse().expect("address");
    let expected = [
        Connection {
            pid: 28_755,
            local: at("127.0.0.1:40267"),
            remote: at("127.0.0.1:55506"),
            bytes: 383_620 + 326_688,
        },
        Connection {
            pid: 28_760,
            local: at("127.0.0.1:56340"),
            remote: at("127.0.0.1:43121"),
            bytes: 0,
        },
    ];
    assert_eq!(parse_connections(SS_OUTPUT), expected);
}

/// A count that is lower than before belongs to a new connection between the same
/// ports, so all of its bytes are counted.
#[test]
fn traffic_is_the_difference_per_connection() {
    let at = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let connection =
        |port: u16, bytes: u64| Connection { pid: 1, local: at(port), remote: at(9), bytes };
    let before = [connection(1, 100), connection(2, 50), connection(3, 70)];
    let after = [connection(1, 130), connection(3, 20), connection(4, 5)];
    let transferred = [connection(1, 30), connection(3, 20), connection(4, 5)];
    assert_eq!(subtract_bytes(&before, &after), transferred);
}
