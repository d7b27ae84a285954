# Sample fleet, modelled on a university's report service in the last days of a term: three rooms, ten workers, three
# limiters and four plans. All keys are described in docs/operate/fleet-file.md.
name = "sample"
pod_size = 4

network {
  same_room  = "0.2ms"
  cross_room = "2ms"
  client     = "0.8ms"
  jitter     = 0.15
}

worker "small-2c" {
  cores        = 2
  speed        = 1.0
  speed_cv     = 0.1
  slots        = 8
  waiting_room = 36
  thrash       = 0.15
  thrash_at    = 4
  cold_share   = 0.3
  cold         = "10s"
  connections  = 1200
  handshake    = "1ms"
  cancel       = "queued"
  report_every = "400ms"
  report_delay = "120ms"
  report_noise = 0.05
  error_share  = 0.0005
}

room "room-a" {
  limiters = 1
  workers "small-2c" {
    count = 4
  }
}

room "room-b" {
  limiters = 1
  workers "small-2c" {
    count = 3
  }
}

room "room-c" {
  limiters = 1
  workers "small-2c" {
    count = 3
  }
}

class "report-read" {
  share      = 0.77
  work       = "120ms"
  work_cv    = 0.8
  attempt_cv = 0.2
  aim        = "800ms"
  deadline   = "3s"
  worth      = 1
  repeats    = "safe"
}

class "text-submit" {
  share      = 0.23
  work       = "200ms"
  work_cv    = 0.8
  attempt_cv = 0.2
  aim        = "2s"
  deadline   = "8s"
  worth      = 3
  repeats    = "keyed"
  scope      = "pod"
  window     = "15s"
}

plan "basico" {
  share        = 0.23
  rate         = 1.6
  burst        = 6.5
  price        = 0.5
  overrun_cost = 0.6
  spread       = [2, 3]
}

plan "escola" {
  share        = 0.24
  rate         = 2.3
  burst        = 9.8
  price        = 0.8
  overrun_cost = 0.5
  spread       = [2, 3]
}

plan "faculdade" {
  share        = 0.31
  rate         = 7.2
  burst        = 31
  price        = 1.3
  overrun_cost = 0.5
  spread       = [2, 3]
}

plan "universidade" {
  share        = 0.22
  rate         = 18
  burst        = 38
  price        = 1.6
  overrun_cost = 0.6
  spread       = [2, 3]
}

counter {
  room             = "room-a"
  calls_per_second = 600
  delay            = "1ms"
  timeout          = "30ms"
  line             = 32
  back_after       = "5s"
}

limiter {
  cores           = 0.5
  cpu_per_request = "350us"
  sockets         = 1024
  memory_mb       = 32
}

load {
  requests_per_second = 74
  length              = "40s"
  wave                = 0.1
  wave_period         = "30s"
  usual_use           = [0.2, 0.45]
  full                = 0.17
  heavy               = 0.1
  heavy_times         = [2, 4.1]
  spiky               = 0.16
  spike_times         = [4.7, 7.9]
  spike_for_s         = [0.6, 3.7]
  spike_every_s       = [11, 25]
  skew                = 1.2
  shift_every         = "6s"
}

clients {
  retries  = 0.7
  backoff  = "150ms"
  honour   = 0.6
  gives_up = [0.5, 1]
}

aims {
  class "report-read" {
    in_time = 0.99
  }
  workers     = [6, 24]
  seeds       = 8
  sudden_loss = 0.23
}
