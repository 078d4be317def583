// What is alike in the whole fleet, and how it is changed. The definitions are those of the operator's file.
#Root: {
    // What becomes of members that are not heard: out of service after their lease, or waited for.
    missing: *"fence" | "wait"
    // How long a member may serve without a word of the keepers.
    lease:   *2s | (duration & >=200ms & <=60s)
    // A change that is not decided by then is dropped.
    within:  *30s | (duration & >=1s & <=1h)
    // The change to this version stops everybody first: no two versions ever admit at once.
    together: *false | bool
    // Undone by itself where answers in time, or billed value, of each invocation asked fall by more than this share.
    watch?: {
        share:  number & >0 & <1
        within: duration & >=4s & <=10m
    }
    // In place of the instance's own.
    pools?:    #Pools
    // A request over SCGI that is not whole by then is answered 408.
    patience?: duration & >=50ms & <=60s
    // Further tries of a forwarder for each first one.
    retries?:  number & >=0 & <=1
}
