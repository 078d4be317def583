// What the operator's file may say. Everything is off where it says nothing.

#Method: "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "OPTIONS"

#Route: {
    // Matches itself and all below it; the longest that fits counts.
    path:      string & !=""
    methods:   *["GET", "POST"] | [...#Method]
    operation: string
    // Each of these four: a header of the request, and what holds where a request lacks it.
    // Name of a customer.
    customer:  *{} | {header?: string, default?: string}
    // From 0 to under 1.
    rank:      *{} | {header?: string, default?: number & >=0 & <1}
    // How long the caller still waits; the header tells milliseconds.
    within:    *{} | {header?: string, default?: duration & >=1ms & <=1h}
    // Work to expect; the header tells milliseconds on one core.
    hint:      *{} | {header?: string, default?: duration & >0s & <=1h}
    // Booked while it is held.
    memory:    *24KiB | (size & >=1KiB & <=1999KiB)
    content_type: *"application/octet-stream" | (string & !="")
    // For a tokened operation: the header with its token. It runs once under each.
    token?: {header: string}
}

#Scgi: {
    listen:      address
    // Of the descriptors that the platform grants; no others' room is taken.
    connections: *64 | (int & >=1 & <=100000)
    header:      *4KiB | (size & >=256B & <=6000B)
    fields:      *64 | (int & >=8 & <=256)
    // A request that is not whole by then is answered 408.
    patience:    *2s | (duration & >=50ms & <=60s)
    routes:      [...#Route]
}

#Calls: {
    // A backend that answers in SCGI, in place of the ledger.
    scgi: {
        address: address
        path:    *"/" | (string & !="")
    }
}

// Parts are of all places, of the line and of the memory, from 0 to 1.
#Pool: {
    operations: [...string]
    // Its own, lent while it is not used.
    least:   *0.0 | (number & >=0 & <=1)
    most:    *1.0 | (number & >0 & <=1)
    // Its claim on places that are nobody's own.
    weight:  *1.0 | (number & >0 & <=1000)
    // What of its own is never lent.
    reserve: *0.0 | (number & >=0 & <=1)
}

#Pools: {
    limiter: *"gradient" | "aimd" | "vegas" | "pid" | "fixed"
    // By their names. Operations in none share what is nobody's own.
    pools:   {[string]: #Pool}
}

#Store: {
    // One that lasts; held by one process.
    folder:     string & !=""
    durability: *"group" | "each" | "none"
    // What comes within this long is committed together.
    within:     *2ms | (duration & >=0s & <=1s)
    // Whether an answer leaves behind the commit of its row.
    answer:     *"after" | "before"
    // While rows can't be kept: serve without, or take nothing.
    full:       *"serve" | "refuse"
    segment:    *4MiB | (size & >=64KiB & <=1GiB)
    // Sum billing rows by spans of this length, and hand the closed ones out beside the folder, for the duty sums.
    hours?:     duration & >=100ms & <=24h
}

#Peer: {
    name:    string & !=""
    address: address
}

#Tier: {
    // Where this instance hears the others, by datagrams.
    listen:   address
    planners: [...#Peer]
    workers:  [...{
        name:    string & !=""
        address: address
        // Runs that it has room for at once.
        places:  int & >=1 & <=100000
    }]
}

#Keepers: {
    // An owner that is not heard for this long owns nothing any more.
    lease:  *2s | (duration & >=200ms & <=60s)
    // Three or five; each has the address at which this instance finds it.
    all:    [...#Peer]
    // Where this instance keeps, if it is one of them. One that lasts.
    folder?: string & !=""
}

#Tally: {
    ledger: address
    duty:   *"tally" | (string & !="")
    parts:  *1 | (int & >=1 & <=10000)
    // Between two items of a part.
    every:  *100ms | (duration & >=1ms & <=1h)
}

#Settle: {
    ledger:  address
    // Stores of instances, on a volume that all who may settle reach.
    folders: [...string & !=""]
    // Between two looks at a folder.
    every:   *1s | (duration & >=100ms & <=1h)
}

#Sums: {
    ledger:  address
    // Stores of instances, on a volume that all who may own the duty reach.
    folders: [...string & !=""]
    // As the instances' store.hours.
    span:    *1h | (duration & >=100ms & <=24h)
    // Between two looks at a folder.
    every:   *1s | (duration & >=10ms & <=1h)
}

#Rollout: {
    // Where this instance keeps versions of the policy. One that lasts.
    folder: string & !=""
    // Where no keeper answers for so long, it begins under the version it had last; without this it waits.
    alone?: duration & >=1s & <=1h
    // Longest text that it takes.
    room:   *16KiB | (size & >=256B & <=16KiB)
    // Its zone's relays; where there are any it asks them in place of the keepers.
    relays: *[] | [...#Peer]
}

#Relay: {
    // Where members of the zone find it, by datagrams.
    listen: address
    // Where it keeps versions of the policy, and hands them out from. One that lasts.
    folder: string & !=""
    // Longest lease that it gives; never past its own.
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
