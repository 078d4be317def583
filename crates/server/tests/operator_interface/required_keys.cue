scgi:    {listen: "127.0.0.1:4000", routes: [{path: "/a", operation: "lookup"}]}
calls:   {scgi: {address: "127.0.0.1:4001"}}
pools:   {pools: {quick: {operations: ["lookup"]}}}
store:   {folder: "/var/lib/store"}
tier:    {listen: "127.0.0.1:4002", planners: [{name: "p0", address: "127.0.0.1:4003"}], workers: [{name: "w0", address: "127.0.0.1:4004", places: 4}]}
keepers: {all: [{name: "k0", address: "127.0.0.1:4005"}, {name: "k1", address: "127.0.0.1:4006"}, {name: "k2", address: "127.0.0.1:4007"}]}
tally:   {ledger: "127.0.0.1:4008"}
settle:  {ledger: "127.0.0.1:4008", folders: ["/volume/a"]}
sums:    {ledger: "127.0.0.1:4008", folders: ["/volume/a"]}
rollout: {folder: "/var/lib/policy"}
relay:   {listen: "127.0.0.1:4009", folder: "/var/lib/relay"}
