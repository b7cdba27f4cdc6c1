package review2;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A job as a user submits it. `runSeconds` is the true run time of each task, known to the workers alone. */
final class Job {
  private static final ObjectMapper JSON = new ObjectMapper();
  final String id;

  /** The true run time of the last task, if it is another than that of the others. */
  Double lastRunSeconds;

  final ObjectNode body = JSON.createObjectNode();
  final double runSeconds;
  final double cpus;
  final double memoryGb;

  double runSeconds(String piece) {
    boolean isLast = piece.equals(id + "/" + (body.path("pieces").asInt() - 1));
    return isLast && lastRunSeconds != null ? lastRunSeconds : runSeconds;
  }

  Job(String id, String lane, String crew, String urgency, int pieces, double cpus, double memoryGb, double runSeconds) {
    this.id = id;
    this.runSeconds = runSeconds;
    this.cpus = cpus;
    this.memoryGb = memoryGb;
    body.put("id", id).put("lane", lane).put("crew", crew).put("shape", "array").put("urgency", urgency).put("pieces", pieces);
    body.put("vcpus", cpus).put("gpus", 0.0).put("ramGb", memoryGb).put("bundle", "img-01").put("pullGb", 0.5);
    body.putNull("breeds").putNull("yard").put("together", false).put("spread", false).put("loaners", false);
    body.put("guessS", runSeconds).put("markEveryS", 0.0).put("markCostS", 0.0).putNull("dueS");
  }
}
