// Defines CanaryShare, which limits the share of the calls of a service that an entry node places
// on servers whose version is on trial. Performs no I/O; the caller passes in a random number.
#pragma once

namespace guavatrail {

class CanaryShare {
 public:
  struct Options {
    // Share of the calls. Half of the share of requests that a bad version may get until its time
    // limit, so that a short time at full load before the verdict stays within that limit too.
    double share = 0.05;
  };

  // `random` in [0, 1) is the part of the first canary call that has been earned already. Without
  // it, many entry nodes with few calls each would place none, or with a full one too many.
  explicit CanaryShare(double random) : CanaryShare(random, Options{}) {}
  CanaryShare(double random, Options options) : m_options(options), m_earned(random) {}

  // Records a call to a service that has canaries. Returns whether it goes to one of them. In n
  // calls, at most n * share + 1 do.
  bool OnCall() {
    m_earned += m_options.share;
    if (m_earned < 1) return false;
    m_earned -= 1;
    return true;
  }

 private:
  Options m_options;
  double m_earned;  // In calls.
};

}  // namespace guavatrail
