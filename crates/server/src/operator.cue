// Schema of the operator's file. A feature whose key is missing is off.

#Method: "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "OPTIONS"

#Route: {
    // Matches this path and all paths below it; the longest matching path applies.
    path:      string & !=""
    methods:   *["GET", "POST"] | [...#Method]
    operation: string
    // Each of the next four names a request header, and a default for requests without this header.
    // Name of the tenant.
    customer:  *{} | {header?: string, default?: string}
    // Priority that the client gives, from 0 to below 1.
    rank:      *{} | {header?: string, default?: number & >=0 & <1}
    // Time for which the client still waits; the header gives milliseconds.
    within:    *{} | {header?: string, default?: duration & >=1ms & <=1h}
    // Expected work; the header gives milliseconds on one core.
    hint:      *{} | {header?: string, default?: duration & >0s & <=1h}
    // Memory accounted for a request while the server holds it.
    memory:    *24KiB | (size & >=1KiB & <=1999KiB)
    content_type: *"application/octet-stream" | (string & !="")
    // For operations with an idempotency key: the header with the key. A request runs at most once for each key.
    token?: {header: string}
}

#Scgi: {
    listen:      address
    // Maximum number of connections, reserved out of the descriptors that the platform grants.
    connections: *64 | (int & >=1 & <=100000)
    header:      *4KiB | (size & >=256B & <=6000B)
    fields:      *64 | (int & >=8 & <=256)
    // Timeout for receiving a whole request, after which the response is 408.
    patience:    *2s | (duration & >=50ms & <=60s)
    routes:      [...#Route]
}

#Calls: {
    // A backend that speaks SCGI, in place of the ledger.
    scgi: {
        address: address
        path:    *"/" | (string & !="")
    }
}

// Shares are fractions, from 0 to 1, of all slots, of the queue and of the memory.
#Pool: {
    operations: [...string]
    // Guaranteed share, lent to other pools while unused.
    least:   *0.0 | (number & >=0 & <=1)
    most:    *1.0 | (number & >0 & <=1)
    // Weight in the distribution of slots that are guaranteed to no pool.
    weight:  *1.0 | (number & >0 & <=1000)
    // Part of the guaranteed share that is never lent.
    reserve: *0.0 | (number & >=0 & <=1)
}

#Pools: {
    limiter: *"gradient" | "aimd" | "vegas" | "pid" | "fixed"
    // Pools by name. Operations in no pool share the capacity that is guaranteed to no pool.
    pools:   {[string]: #Pool}
}

#Store: {
    // Must outlive the instance; one process uses the folder at a time.
    folder:     string & !=""
    durability: *"group" | "each" | "none"
    // With durability group: rows that arrive within this time are committed together.
    within:     *2ms | (duration & >=0s & <=1s)
    // Whether a response is sent before or after the commit of its row.
    answer:     *"after" | "before"
    // While rows can't be stored: serve without the store, or reject requests.
    full:       *"serve" | "refuse"
    segment:    *4MiB | (size & >=64KiB & <=1GiB)
    // Sum billing rows by spans of this length, and write the closed spans beside the folder, for the usage report.
    hours?:     duration & >=100ms & <=24h
}

#Peer: {
    name:    string & !=""
    address: address
}

#Tier: {
    // UDP address at which this instance receives messages of the others.
    listen:   address
    planners: [...#Peer]
    workers:  [...{
        name:    string & !=""
        address: address
        // Maximum number of requests that the worker runs at once.
        places:  int & >=1 & <=100000
    }]
}

#Keepers: {
    // Duration of a lease: an owner that is not heard from for this time loses ownership.
    lease:  *2s | (duration & >=200ms & <=60s)
    // Three or five control replicas, each with its address as seen from this instance.
    all:    [...#Peer]
    // Storage of this instance if it is a control replica. The folder must outlive the instance.
    folder?: string & !=""
}

#Tally: {
    ledger: address
    duty:   *"tally" | (string & !="")
    parts:  *1 | (int & >=1 & <=10000)
    // Interval between two items of a partition.
    every:  *100ms | (duration & >=1ms & <=1h)
}

#Settle: {
    ledger:  address
    // Folders of the instances' stores, on a volume that every instance which may own this task can access.
    folders: [...string & !=""]
    // Interval between two scans of a folder.
    every:   *1s | (duration & >=100ms & <=1h)
}

#Sums: {
    ledger:  address
    // Folders of the instances' stores, on a volume that every instance which may own this task can access.
    folders: [...string & !=""]
    // Must equal store.hours of the instances.
    span:    *1h | (duration & >=100ms & <=24h)
    // Interval between two scans of a folder.
    every:   *1s | (duration & >=10ms & <=1h)
}

#Rollout: {
    // Storage for versions of the policy. The folder must outlive the instance.
    folder: string & !=""
    // If no control replica responds for this time, the instance starts under its last stored version. Without this key it waits.
    alone?: duration & >=1s & <=1h
    // Maximum size of a policy document.
    room:   *16KiB | (size & >=256B & <=16KiB)
    // Relays of this instance's zone. If there are any, the instance polls them in place of the control replicas.
    relays: *[] | [...#Peer]
}

#Relay: {
    // UDP address at which the members of the zone reach the relay.
    listen: address
    // Storage for the versions of the policy that the relay serves. The folder must outlive the instance.
    folder: string & !=""
    // Maximum duration of a lease that the relay grants; a granted lease never exceeds the relay's own.
    most:   *2s | (duration & >=200ms & <=60s)
}

#Root: {
    rollout?: #Rollout
    relay?: #Relay
    sums?:  #Sums
    keepers?: #Keepers
    settle?: #Settle
    tally?: #Tally
    tier?:  #Tier
    store?: #Store
    scgi?:  #Scgi
    calls?: #Calls
    pools?: #Pools
}
