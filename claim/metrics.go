package claim

import "github.com/prometheus/client_golang/prometheus"

// metrics counts what the ledger does to the platform's store.
type metrics struct {
	calls      *prometheus.CounterVec
	bytes      prometheus.Counter
	operations *prometheus.CounterVec
	group      prometheus.Histogram
	conflicts  prometheus.Counter
	lost       prometheus.Counter
	indexed    *prometheus.GaugeVec
	down       prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_claim_store_calls_total", Help: "Store calls by call and result.",
		}, []string{"call", "result"}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_claim_store_written_bytes_total", Help: "Bytes offered to the store in writes.",
		}),
		operations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_claim_operations_total", Help: "Operations by kind and result.",
		}, []string{"operation", "result"}),
		group: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "azurelead_claim_group_operations", Help: "Operations in one update of a shard.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 12),
		}),
		conflicts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_claim_conflicts_total", Help: "Updates of a shard refused because another writer came first.",
		}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_claim_lost_answers_total", Help: "Updates of a shard whose answer was lost.",
		}),
		indexed: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "azurelead_claim_indexed_keys", Help: "Keys of sealed segments held in memory, by shard.",
		}, []string{"shard"}),
		down: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "azurelead_claim_store_down", Help: "1 while claims are refused at once because the store is down.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.calls, m.bytes, m.operations, m.group, m.conflicts, m.lost, m.indexed, m.down)
	}
	return m
}
