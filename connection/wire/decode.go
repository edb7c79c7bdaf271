package wire

import "github.com/fxamacker/cbor/v2"

// decMode accepts texts that are not UTF-8, which the encoder accepts as well: an ID that
// one process has let pass must not keep others from decoding the rest of a message.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Decode decodes a message of another process. Its texts may not be UTF-8.
func Decode(data []byte, v any) error { return decMode.Unmarshal(data, v) }
