package claim

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of a ledger and its calls to the store.
type metrics struct {
	calls        *prometheus.CounterVec
	writtenBytes prometheus.Counter
	operations   *prometheus.CounterVec
	batchSize    prometheus.Histogram
	conflicts    prometheus.Counter
	lostAnswers  prometheus.Counter
	indexedKeys  *prometheus.GaugeVec
	storeDown    prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_claim_store_calls_total", Help: "Store calls by call and result.",
		}, []string{"call", "result"}),
		writtenBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_claim_store_written_bytes_total", Help: "Bytes in write calls to the store, including failed and unsent ones.",
		}),
		operations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_claim_operations_total", Help: "Operations by kind and result.",
		}, []string{"operation", "result"}),
		batchSize: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "azurelead_claim_group_operations", Help: "Operations in one update of a shard.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 12),
		}),
		conflicts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_claim_conflicts_total", Help: "Updates of a shard refused because another writer updated it first.",
		}),
		lostAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_claim_lost_answers_total", Help: "Updates of a shard whose answer was lost.",
		}),
		indexedKeys: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "azurelead_claim_indexed_keys", Help: "Keys of sealed segments held in memory, by shard.",
		}, []string{"shard"}),
		storeDown: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "azurelead_claim_store_down", Help: "1 while claims are refused at once because the store is down.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.calls, m.writtenBytes, m.operations, m.batchSize, m.conflicts, m.lostAnswers, m.indexedKeys, m.storeDown)
	}
	return m
}
