// Example of an operator's file. It has no effect unless the `run` command names it with --operator. On this platform the
// command does not, since instances may listen only on the address for their routers. docs/ops/scgi.md describes each key;
// `cypresscleat-server check --operator deploy/operator.cue` checks the file.

#Gateway: {
    customer: {header: "X-Team"}
    within:   {header: "X-Wait-Ms"}
}

scgi: {
    listen:      "127.0.0.1:4000"
    connections: 64
    patience:    2s
    routes: [
        #Gateway & {path: "/lookup", operation: "lookup"},
        #Gateway & {path: "/report", operation: "report", methods: ["POST"], within: default: 4s, memory: 48KiB},
    ]
}
