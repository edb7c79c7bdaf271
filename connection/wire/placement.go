package wire

// PathPlacement is the path at which an entry of a deployment answers where a request would go
// now. The constants below are the names of its parameters; a key is in the Authorization header.
const (
	PathPlacement = "/v1/placement"

	PlacementHost      = "host"
	PlacementPath      = "path"
	PlacementAccount   = "account"
	PlacementModel     = "model"
	PlacementPrompt    = "prompt_tokens"
	PlacementMaxOutput = "max_output_tokens"
	PlacementOutput    = "output_tokens"
	PlacementParts     = "parts"
	PlacementDeadline  = "deadline"
)
