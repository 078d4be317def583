scgi: {
    listen: "127.0.0.1:4000", connections: 10, header: 2KiB, fields: 32, patience: 1s
    routes: [{
        path: "/a", methods: ["POST"], operation: "lookup"
        customer: {header: "x-customer", default: "acme"}, rank: {header: "x-rank", default: 0.5}
        within: {header: "x-within", default: 1s}, hint: {header: "x-hint", default: 5ms}
        memory: 8KiB, content_type: "text/plain", token: {header: "x-token"}
    }]
}
calls: {scgi: {address: "127.0.0.1:4001", path: "/b"}}
pools: {limiter: "aimd", pools: {quick: {operations: ["lookup"], least: 0.25, most: 0.75, weight: 2.0, reserve: 0.125}}}
store: {folder: "/var/lib/store", durability: "each", within: 3ms, answer: "before", full: "refuse", segment: 1MiB, hours: 1h}
tier: {listen: "127.0.0.1:4002", planners: [{name: "p0", address: "127.0.0.1:4003"}], workers: [{name: "w0", address: "127.0.0.1:4004", places: 4}]}
keepers: {
    lease: 1s, folder: "/var/lib/keeper"
    all: [{name: "k0", address: "127.0.0.1:4005"}, {name: "k1", address: "127.0.0.1:4006"}, {name: "k2", address: "127.0.0.1:4007"}]
}
tally: {ledger: "127.0.0.1:4008", duty: "count", parts: 3, every: 1s}
settle: {ledger: "127.0.0.1:4008", folders: ["/volume/a"], every: 2s}
sums: {ledger: "127.0.0.1:4008", folders: ["/volume/a"], span: 30m, every: 2s}
rollout: {folder: "/var/lib/policy", alone: 5s, room: 8KiB, relays: [{name: "r0", address: "127.0.0.1:4010"}]}
relay: {listen: "127.0.0.1:4009", folder: "/var/lib/relay", most: 1s}
