// Schema of a policy document: settings that are equal in the whole fleet, and the rules for changing them. The definitions
// are those of the operator's file.
#Root: {
    // Members that are not heard from: fence takes them out of service after their lease, wait waits for them.
    missing: *"fence" | "wait"
    // Duration of a member's lease: the time for which it may serve without contact to the control replicas.
    lease:   *2s | (duration & >=200ms & <=60s)
    // A change that is not decided within this time is aborted.
    within:  *30s | (duration & >=1s & <=1h)
    // Barrier: all members stop before the change to this version, so that no two versions admit at the same time.
    together: *false | bool
    // The change is reverted automatically if timely responses, or billed value, for each incoming request fall by more than
    // this share.
    watch?: {
        share:  number & >0 & <1
        within: duration & >=4s & <=10m
    }
    // Replaces the pools of the instance's own file.
    pools?:    #Pools
    // Timeout for receiving a whole request over SCGI, after which the response is 408.
    patience?: duration & >=50ms & <=60s
    // Retries of a forwarder for each first attempt.
    retries?:  number & >=0 & <=1
}
