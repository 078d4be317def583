missing: "wait"
lease: 1s
within: 10s
together: true
watch: {share: 0.1, within: 30s}
pools: {limiter: "vegas", pools: {quick: {operations: ["lookup"], least: 0.25, most: 0.75, weight: 2.0, reserve: 0.125}}}
patience: 1s
retries: 0.2
