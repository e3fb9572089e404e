// Uses a part of the library without the programs: a fair queue in front of the
// embedder's own resource.
#include <fmt/format.h>

#include "chervilpass/admission/fair_queue.h"

int main() {
  using namespace chervilpass;
  admission::FairQueue queue(2, 100);
  admission::TicketId id = 0;
  for (int i = 0; i < 6; ++i) {
    admission::Ticket ticket;
    ticket.id = ++id;
    ticket.organisation = i % 2 == 0 ? "skagen" : "odense";
    ticket.weight = i % 2 == 0 ? 2 : 1;
    ticket.deadline = Instant{} + seconds(1);
    queue.Push(ticket);
  }
  // At most two run at once; each one that finishes lets the next one start.
  while (const auto ticket = queue.Next()) {
    fmt::print("runs: {} of {}\n", ticket->id, ticket->organisation);
    if (queue.Running() == queue.Capacity()) {
      queue.Finish(ticket->organisation);
    }
  }
  return 0;
}
